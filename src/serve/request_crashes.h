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
#include <vector>

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
    /// digest is needed. `parts` are the keys of the parts of its prompt that
    /// other requests may share.
    RequestCrashes(Guarded<CrashHistory>& history,
                   Guarded<UnresolvedFailures>& failures,
                   DigestFunction compute_digest,
                   std::vector<std::string> parts = {});
    ~RequestCrashes();
    RequestCrashes(const RequestCrashes&) = delete;
    RequestCrashes& operator=(const RequestCrashes&) = delete;

    /// Returns whether the request, or a part of its prompt, must not be sent
    /// to any upstream.
    bool blocked();
    /// Returns the key that blocked() found to be blocked.
    const std::string& blocked_key() const { return m_blocked_key; }
    /// Returns whether the request may be sent although it is blocked; see
    /// CrashHistory::may_try().
    bool may_try();
    /// Returns whether the next attempt is made although the request is
    /// blocked; see CrashHistory::take_trial(). If it is not sent, the trial is
    /// returned.
    bool take_trial();
    /// Returns whether an upstream ended while it ran the request, or recently
    /// interrupted it.
    bool failed_before() { return failed_before(digest()); }
    /// Records that the request is sent to an upstream.
    void record_send();
    /// Records that what was sent last reached no upstream.
    void record_unsent();
    /// Records that an upstream answered the request completely.
    void record_answer();
    /// Records that an upstream has gone on past the begin of its answer: no
    /// part of the prompt keeps upstreams from answering, and none is suspect
    /// if the upstream ends now.
    void record_begun();
    /// Records that `upstream`, to which the request was sent last, interrupted
    /// it or answered that it failed. `is_probed`: see UnresolvedFailure.
    /// Returns whether the upstream is known to have ended.
    bool record_failure(const ProbeTarget& upstream, bool is_probed);

    /// See request_digest().
    const std::string& digest();
    /// Returns whether an upstream was known to have ended under the request
    /// when it was sent last; see InterruptedCall.
    bool again() const { return m_again; }

private:
    bool has_recent_ends();
    bool failed_before(const std::string& key);
    void record_answered_parts();
    std::vector<std::string> all_keys();
    std::vector<FailedKey> suspect_keys();

    Guarded<CrashHistory>& m_history;
    Guarded<UnresolvedFailures>& m_failures;
    const DigestFunction m_compute_digest;
    std::string m_digest; ///< Empty until digest() is called.
    const std::vector<std::string> m_parts;
    std::string m_blocked_key;
    bool m_is_trial = false; ///< The next attempt is made despite a block.
    // Of the last attempt:
    bool m_was_trial = false; ///< It was made despite a block.
    bool m_again = false;
    std::vector<bool> m_parts_again; ///< The same, for each part.
    bool m_begun = false;            ///< See record_begun().
};

/// Records under which keys a process ended. Returns their number.
std::size_t record_process_ends(Guarded<CrashHistory>& history,
                                std::span<const InterruptedCall> calls);

} // namespace crosslink
