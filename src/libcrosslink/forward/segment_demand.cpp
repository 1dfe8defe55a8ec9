// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/segment_demand.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Half-lives after which a segment without calls is forgotten.
constexpr int remembered_half_lives = 4;

} // namespace

void
SegmentDemand::Fading::add(double value, TimePoint now)
{
    sum = left(now) + value;
    at = now;
}

double
SegmentDemand::Fading::left(TimePoint now) const
{
    return sum * decay(now - at, half_life);
}

void
SegmentDemand::called(std::string_view service, std::uint64_t tokens,
                      TimePoint now)
{
    m_services[std::string(service)].add(static_cast<double>(tokens), now);
}

double
SegmentDemand::contained(std::string_view service, std::string_view segment,
                         std::uint64_t tokens, TimePoint now)
{
    const auto total = m_services.find(service);
    if (total == m_services.end())
        return 0;
    const Key key{service, segment};
    if (m_segments.size() >= max_segments && !m_segments.contains(key)) {
        drop_old(now);
        if (m_segments.size() >= max_segments)
            return 0;
    }
    Fading& fading = m_segments[key];
    fading.add(static_cast<double>(tokens), now);
    const double of_service = total->second.left(now);
    return of_service > 0 ? std::min(fading.left(now) / of_service, 1.0) : 0;
}

/// Forgets the segments that have not been in a prompt for long.
void
SegmentDemand::drop_old(TimePoint now)
{
    if (now < m_drop_at)
        return;
    m_drop_at = now + half_life;
    std::erase_if(m_segments, [now](const auto& item) {
        return now - item.second.at >= remembered_half_lives * half_life;
    });
}

} // namespace crosslink
