// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"

#include <adapters/port_look.h>
#include <serve/request_crashes.h>

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/runner_table.h>

#include <string>

namespace crosslink
{

/// A forwarded call's part of that history: finds out whether a runner ended
/// under it.
class CrashWatch : public RequestCrashes
{
public:
    /// All of them outlive it. `account` is empty on open routes.
    CrashWatch(ForwardState& state, const ForwardedCall& call,
               const std::string& account);

    /// Takes note that the connection to `runner` broke before the whole
    /// answer. Looks whether the runner still takes connections, for 100 ms at
    /// the most.
    void broken(const RunnerPick& runner);
    /// Takes note that `runner` answered that the call failed there: it may be
    /// the last that its process says.
    void failed(const RunnerPick& runner);
    /// Takes note that `runner` answered the call, which was sent at `sent_at`.
    void served(const RunnerPick& runner, TimePoint sent_at);

private:
    ProcessFate fate_of(const RunnerPick& runner);

    ForwardState& m_state;
    const ForwardedCall& m_call;
};

} // namespace crosslink
