// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "relay_wire.h"

#include <crosslink/ports/call_wire.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Poco::Net
{
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace crosslink
{

class CallConnection;
class CallerLink;
class HeldBytes;
class LentPlace;
struct ForwardState;
struct RunnerLink;
struct RunnerPick;

/// Passes calls on to runners for instances that do not reach these, or that
/// have no share left of a runner's capacity while this one has. The instance
/// that the caller is connected to has authenticated the call, chosen the
/// runner and taken the call out of the budgets; this one sends it once, to
/// that runner, over its own path only. Never to another instance, so that
/// calls go in no circles.
class RelayHandler
{
public:
    explicit RelayHandler(ForwardState& state);

    /// Returns whether `request` is a call to pass on.
    static bool is_relayed(const Poco::Net::HTTPServerRequest& request);
    /// Answers with the runner's answer, or with a RelayFailure. An answer that
    /// breaks off at the runner breaks off here.
    void handle(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& answer);
    /// Returns how many calls are passed on at a time.
    std::uint64_t most_open() const;

private:
    struct RelayedCall;

    void pass_on(RelayedCall& call, CallerLink& link);
    RunnerLink connect(const RunnerPick& runner);
    void relay(RelayedCall& call, const RunnerPick& runner, RunnerLink path,
               LentPlace& place, CallerLink& link);
    void read_head(const Poco::Net::HTTPServerRequest& request,
                   RelayedCall& call) const;
    bool read_call_body(Poco::Net::HTTPServerRequest& request,
                        RelayedCall& call, HeldBytes& held);
    std::optional<AnswerHead> receive_head(const RelayedCall& call,
                                           const RunnerPick& runner,
                                           CallConnection& connection,
                                           bool only_call);
    bool pass_body(const RelayedCall& call, CallConnection& connection,
                   CallerLink& link);
    void refuse(const RelayedCall& call, RelayFailure failure, CallerLink& link,
                Micros free_in = {});

    ForwardState& m_state;
};

} // namespace crosslink
