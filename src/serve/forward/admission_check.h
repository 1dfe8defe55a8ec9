// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "runner_choice.h"

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/service_map.h>

#include <cstdint>

namespace crosslink
{

struct QueueRefusal;
struct QueuedCall;

/// Refuses a call that would wait too long in the queue of the runner that was
/// chosen for it; see QueueLimit.
class AdmissionCheck
{
public:
    /// All references must outlive this object. `account` is the account of the
    /// call; null on open routes.
    AdmissionCheck(ForwardState& state, RunnerChoice& choice,
                   const ForwardedCall& call, const ServiceRoute& route,
                   const AccountSettings* account);

    /// Throws Error if the call would wait too long in the queue of the chosen
    /// runner, and of the one that would be chosen if none had parts of its
    /// prompt in memory; chooses the latter if only that one admits it. Does
    /// nothing once the call was `attempted`: sent, or tried on the share of
    /// another instance.
    void check(bool attempted) const;
    /// Returns the rank of the call; 0 is the most urgent.
    std::uint32_t priority() const;

private:
    QueuedCall queued_call() const;
    [[noreturn]] void refuse(const QueuedCall& call,
                             const QueueRefusal& refusal) const;

    ForwardState& m_state;
    RunnerChoice& m_choice;
    const ForwardedCall& m_call;
    const ServiceRoute& m_route;
    const AccountSettings* m_account;
};

} // namespace crosslink
