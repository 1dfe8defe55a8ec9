// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/platform_availability.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Shortest failure that counts as an outage. A connection that breaks or stops
/// responding is replaced within this time; the platform is unreachable where
/// that does not help. An instance retries 0.25 s after a failure.
constexpr Micros min_outage = std::chrono::milliseconds(1500);
/// Maximum number of recorded outages: the time limits that depend on them are
/// some ten seconds, and no two outages begin within two seconds.
constexpr std::size_t max_outages = 16;

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
    if (m_lost_at && now - *m_lost_at >= min_outage) {
        m_outages.push_back({*m_lost_at, now + m_settle});
        if (m_outages.size() > max_outages)
            m_outages.pop_front();
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
    Micros unavailable{0};
    // Outages overlap where the next outage began before orders resumed.
    TimePoint end = from;
    for (const Outage& outage : m_outages) {
        unavailable +=
            overlap(std::max(from, end), now, outage.from, outage.to);
        end = std::max(end, outage.to);
    }
    if (m_lost_at && now - *m_lost_at >= min_outage)
        unavailable += overlap(std::max(from, end), now, *m_lost_at, now);
    return now - from - unavailable;
}

} // namespace crosslink
