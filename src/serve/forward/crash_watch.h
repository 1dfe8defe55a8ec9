// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"

#include <serve/request_crashes.h>

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/runner_table.h>

#include <string>

namespace crosslink
{

struct AccountSettings;

/// Finds out whether runner processes exit while they run a forwarded call,
/// and records it in the crash history of the call's request and of the parts
/// of its prompt.
class CrashWatch : public RequestCrashes
{
public:
    /// `state` and `call` must outlive this object. `account` is null on open
    /// routes.
    CrashWatch(ForwardState& state, const ForwardedCall& call,
               const AccountSettings* account);

    /// Returns whether no runner needs to be looked for: the call must not be
    /// sent to any. The holder of the coordinator duty alone may try a blocked
    /// part.
    bool rejects();
    /// Returns whether the call must not be sent to the runner that was found
    /// for it. A call that tries a blocked part is the only one to do so.
    bool rejects_send();

    /// Returns the ids of the parts of the call's prompt that other calls may
    /// share, in their order, joined by commas.
    std::string part_ids() const;

    /// Records that the connection to `runner` broke before the answer was
    /// complete; `begun`: an event of it had come. Looks whether the runner
    /// still accepts connections, which takes up to 0.5 s. Returns false, and
    /// records nothing, if a `direct` connection broke because this instance
    /// lost its path to the runner.
    bool note_broken(const RunnerPick& runner, bool direct, bool begun);
    /// As note_broken(), for a second copy of the call while the first one
    /// waits: never blocks, and whether the runner exited is found out later.
    void note_copy_broken(const RunnerPick& runner);
    /// Records that `runner` answered that the call failed there. A process may
    /// send such an answer just before it exits.
    void note_failed(const RunnerPick& runner);
    /// Records that `runner` answered the call, which was sent at `sent_at`.
    void note_served(const RunnerPick& runner, TimePoint sent_at);

private:
    ForwardState& m_state;
    const ForwardedCall& m_call;
};

} // namespace crosslink
