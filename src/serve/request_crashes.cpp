// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "request_crashes.h"

#include <adapters/clock.h>

#include <utility>

namespace crosslink
{

RequestCrashes::RequestCrashes(Guarded<CrashHistory>& history,
                               Guarded<UnresolvedFailures>& breaks,
                               MakeDigest make_digest)
    : m_history(history), m_breaks(breaks),
      m_make_digest(std::move(make_digest))
{
}

const std::string&
RequestCrashes::digest()
{
    if (m_digest.empty())
        m_digest = m_make_digest();
    return m_digest;
}

/// Where no upstream ended lately, no digest needs to be worked out.
bool
RequestCrashes::is_suspect()
{
    return m_history.with(
        [](const CrashHistory& history) { return !history.empty(); });
}

bool
RequestCrashes::blocked()
{
    return is_suspect() && m_history.with([this](const CrashHistory& history) {
        return history.blocked(digest(), monotonic_now());
    });
}

/// A break without a verdict counts too: the next copy may be sent, and end the
/// next runner, long before one comes.
bool
RequestCrashes::failed_before()
{
    const bool ended =
        is_suspect() && m_history.with([this](const auto& history) {
            return history.ends(digest()) > 0;
        });
    return ended || m_breaks.with([this](const UnresolvedFailures& breaks) {
        return !breaks.empty() && breaks.has(digest(), monotonic_now());
    });
}

void
RequestCrashes::answered()
{
    if (!is_suspect())
        return;
    m_history.with([this](CrashHistory& history) {
        const TimePoint now = monotonic_now();
        history.answered(digest(), now, now);
    });
}

bool
RequestCrashes::broke(const ProbeTarget& upstream, bool is_looked_at)
{
    const TimePoint now = monotonic_now();
    if (m_again)
        m_history.with(
            [&](CrashHistory& history) { history.hold(digest(), now, now); });
    return m_breaks.with([&](UnresolvedFailures& breaks) {
        return breaks.add({digest(), upstream.runner, upstream.start_ms,
                           upstream.address, m_again, now, is_looked_at},
                          now);
    });
}

std::size_t
take_ends(Guarded<CrashHistory>& history,
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
