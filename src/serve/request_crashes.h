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

/// The crash history as one request uses it: whether the request may be sent,
/// and the outcome of its attempts. Not thread-safe.
class RequestCrashes
{
public:
    using DigestFunction = std::function<std::string()>;

    /// `history` and `failures` must outlive this object. `compute_digest`
    /// reads the whole request; it is called once at most, and only where the
    /// digest is needed.
    RequestCrashes(Guarded<CrashHistory>& history,
                   Guarded<UnresolvedFailures>& failures,
                   DigestFunction compute_digest);

    /// Returns whether the request must not be sent to any upstream.
    bool blocked();
    /// Returns whether an upstream ended while it ran the request, or recently
    /// interrupted it.
    bool failed_before();
    /// Records that the request is sent to an upstream.
    void record_send() { m_again = failed_before(); }
    /// Records that an upstream answered the request completely.
    void record_answer();
    /// Records that `upstream`, to which the request was sent last, interrupted
    /// it or answered that it failed. `is_probed`: see UnresolvedFailure.
    /// Returns whether the upstream is known to have ended.
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
    std::string m_digest; ///< Empty until digest() is called.
    bool m_again = false;
};

/// Records calls during which a process ended. Returns their number.
std::size_t record_process_ends(Guarded<CrashHistory>& history,
                                std::span<const InterruptedCall> calls);

} // namespace crosslink
