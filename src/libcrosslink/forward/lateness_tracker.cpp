// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/lateness_tracker.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Weight of a new answer in the mean. No answer counts more than its
/// objective, so that a single late one stays within what is tolerated.
constexpr double answer_weight = 0.1;
/// Part of the objective that the mean may be late: it is in time then.
constexpr double tolerated_part = 0.15;

} // namespace

void
LatenessTracker::answered(std::string_view service, std::uint32_t priority,
                          Micros objective, Micros late, TimePoint now)
{
    if (objective.count() == 0)
        return;
    ByPriority& priorities =
        m_services.try_emplace(std::string(service)).first->second;
    std::erase_if(priorities, [now](const auto& item) {
        return now - item.second.at >= lifetime;
    });
    Lateness& lateness = priorities[priority];
    const double counted = seconds(std::clamp(late, -objective, objective));
    lateness.mean_seconds += answer_weight * (counted - lateness.mean_seconds);
    lateness.objective = objective;
    lateness.at = now;
}

Micros
LatenessTracker::excess(std::string_view service, std::uint32_t priority,
                        TimePoint now) const
{
    Micros most{0};
    const auto priorities = m_services.find(service);
    if (priorities == m_services.end())
        return most;
    for (const auto& [other, lateness] : priorities->second) {
        if (other > priority)
            break;
        most = std::max(most, excess_of(lateness, now));
    }
    return most;
}

Micros
LatenessTracker::excess_of(const Lateness& lateness, TimePoint now)
{
    const double left = 1 - seconds(now - lateness.at) / seconds(lifetime);
    return from_seconds(
        std::max(std::max(left, 0.0) * lateness.mean_seconds -
                     tolerated_part * seconds(lateness.objective),
                 0.0));
}

} // namespace crosslink
