// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "request_crashes.h"

#include <adapters/clock.h>

#include <utility>

namespace crosslink
{

RequestCrashes::RequestCrashes(Guarded<CrashHistory>& history,
                               Guarded<UnresolvedFailures>& failures,
                               DigestFunction compute_digest)
    : m_history(history), m_failures(failures),
      m_compute_digest(std::move(compute_digest))
{
}

const std::string&
RequestCrashes::digest()
{
    if (m_digest.empty())
        m_digest = m_compute_digest();
    return m_digest;
}

/// Returns whether an upstream ended lately. If none did, no digest needs to be
/// computed.
bool
RequestCrashes::has_recent_ends()
{
    return m_history.with(
        [](const CrashHistory& history) { return !history.empty(); });
}

bool
RequestCrashes::blocked()
{
    return has_recent_ends() &&
           m_history.with([this](const CrashHistory& history) {
               return history.blocked(digest(), monotonic_now());
           });
}

/// A failure without a verdict counts too: long before the verdict, the next
/// copy of the request may be sent and end the next runner.
bool
RequestCrashes::failed_before()
{
    const bool ended =
        has_recent_ends() && m_history.with([this](const auto& history) {
            return history.ends(digest()) > 0;
        });
    return ended || m_failures.with([this](const UnresolvedFailures& failures) {
        return !failures.empty() && failures.has(digest(), monotonic_now());
    });
}

void
RequestCrashes::record_answer()
{
    if (!has_recent_ends())
        return;
    m_history.with([this](CrashHistory& history) {
        const TimePoint now = monotonic_now();
        history.answered(digest(), now, now);
    });
}

bool
RequestCrashes::record_failure(const ProbeTarget& upstream, bool is_probed)
{
    const TimePoint now = monotonic_now();
    if (m_again)
        m_history.with(
            [&](CrashHistory& history) { history.hold(digest(), now, now); });
    return m_failures.with([&](UnresolvedFailures& failures) {
        return failures.add({digest(), upstream.runner, upstream.start_ms,
                             upstream.address, m_again, now, is_probed},
                            now);
    });
}

std::size_t
record_process_ends(Guarded<CrashHistory>& history,
                    std::span<const InterruptedCall> calls)
{
    if (calls.empty())
        return 0;
    history.with([&](CrashHistory& known) {
        for (const InterruptedCall& call : calls)
            known.ended(call, monotonic_now());
    });
    return calls.size();
}

} // namespace crosslink
