// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/platform_availability.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A connection that breaks, or falls silent, is replaced within this time: the
/// platform is away where that does not help. An instance that fails tries
/// again after 0.25 s.
constexpr Micros least_away = std::chrono::milliseconds(1500);
/// Spans that are kept: a bound is some ten seconds, and no two spans begin
/// within two seconds.
constexpr std::size_t most_spans = 16;

Micros
overlap(TimePoint from, TimePoint to, TimePoint span_from, TimePoint span_to)
{
    return std::max(std::min(to, span_to) - std::max(from, span_from),
                    Micros{0});
}

} // namespace

void
PlatformAvailability::lost(TimePoint now)
{
    if (!m_lost_at)
        m_lost_at = now;
}

void
PlatformAvailability::regained(TimePoint now)
{
    if (m_lost_at && now - *m_lost_at >= least_away) {
        m_away.push_back({*m_lost_at, now + m_settle});
        if (m_away.size() > most_spans)
            m_away.pop_front();
    }
    m_lost_at.reset();
}

void
PlatformAvailability::reached_by_another(TimePoint now)
{
    if (m_lost_at)
        m_lost_at = now;
}

Micros
PlatformAvailability::available_time(TimePoint from, TimePoint now) const
{
    Micros away{0};
    // Where it went away again while orders had not begun, spans overlap.
    TimePoint end = from;
    for (const Span& span : m_away) {
        away += overlap(std::max(from, end), now, span.from, span.to);
        end = std::max(end, span.to);
    }
    if (m_lost_at && now - *m_lost_at >= least_away)
        away += overlap(std::max(from, end), now, *m_lost_at, now);
    return now - from - away;
}

} // namespace crosslink
