// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "guarded.h"

#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/unresolved_failures.h>

#include <cstddef>
#include <functional>
#include <span>
#include <string>

namespace crosslink
{

/// One request's part of the history of requests under which upstreams ended:
/// whether it may be sent, and what became of it. For one thread.
class RequestCrashes
{
public:
    using DigestFunction = std::function<std::string()>;

    /// `history` and `breaks` outlive it. `make_digest` is called once at most,
    /// and only where it matters: it reads the whole request.
    RequestCrashes(Guarded<CrashHistory>& history,
                   Guarded<UnresolvedFailures>& failures,
                   DigestFunction compute_digest);

    /// Returns whether the request is to be sent nowhere.
    bool blocked();
    /// Returns whether an upstream ended under it, or broke it off a moment
    /// ago.
    bool failed_before();
    /// Takes note that it is sent to an upstream.
    void record_send() { m_again = failed_before(); }
    /// Takes note that an upstream answered it whole.
    void record_answer();
    /// Takes note that `upstream`, to which it was sent last, broke it off, or
    /// answered that it failed. Returns whether it is known to have ended.
    bool record_failure(const ProbeTarget& upstream, bool is_probed);

    /// See request_digest().
    const std::string& digest();
    /// See InterruptedCall.
    bool again() const { return m_again; }

private:
    bool has_recent_ends();

    Guarded<CrashHistory>& m_history;
    Guarded<UnresolvedFailures>& m_failures;
    const DigestFunction m_compute_digest;
    std::string m_digest; ///< Empty before it is asked for.
    bool m_again = false;
};

/// Takes in calls under which a process ended. Returns how many.
std::size_t record_process_ends(Guarded<CrashHistory>& history,
                                std::span<const InterruptedCall> calls);

} // namespace crosslink
