// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/urgency_tracker.h>

#include <algorithm>

namespace crosslink
{

Urgency
UrgencyTracker::called(std::string_view service, std::uint32_t priority,
                       Micros objective, TimePoint now)
{
    ByPriority& demands =
        m_services.try_emplace(std::string(service)).first->second;
    std::erase_if(demands, [now](const auto& item) {
        return now - item.second.called_at > active_time;
    });
    demands[priority] = {now, objective};
    Urgency urgency{0, objective};
    for (const auto& [other, demand] : demands) {
        if (other >= priority)
            break;
        ++urgency.level;
        if (demand.objective.count() > 0)
            urgency.strictest_objective =
                std::min(urgency.strictest_objective, demand.objective);
    }
    return urgency;
}

} // namespace crosslink
