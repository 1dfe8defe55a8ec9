// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/load_aggregator.h>

namespace crosslink
{

void
add_load(std::map<std::string, RunnerLoad>& sum,
         const std::map<std::string, RunnerLoad>& load)
{
    for (const auto& [runner, item] : load) {
        RunnerLoad& total = sum[runner];
        total.calls += item.calls;
        total.tokens += item.tokens;
        total.resident += item.resident;
    }
}

void
remove_load(std::map<std::string, RunnerLoad>& sum,
            const std::map<std::string, RunnerLoad>& load)
{
    for (const auto& [runner, item] : load) {
        const auto found = sum.find(runner);
        // A sum without calls has no entry.
        if (found == sum.end())
            continue;
        RunnerLoad& total = found->second;
        total.calls -= item.calls;
        total.tokens -= item.tokens;
        total.resident -= item.resident;
        if (total == RunnerLoad{})
            sum.erase(found);
    }
}

void
LoadAggregator::record_report(std::string_view instance,
                              const std::map<std::string, RunnerLoad>& own,
                              TimePoint now)
{
    expire(now);
    Report& report = m_instances[std::string(instance)];
    remove_load(m_sum, report.load);
    report = {own, now};
    add_load(m_sum, own);
}

/// Drops outdated reports.
void
LoadAggregator::expire(TimePoint now)
{
    std::erase_if(m_instances, [&](const auto& item) {
        const bool is_old = now - item.second.at > load_holds;
        if (is_old)
            remove_load(m_sum, item.second.load);
        return is_old;
    });
}

std::map<std::string, RunnerLoad>
LoadAggregator::others(std::string_view instance, TimePoint now)
{
    expire(now);
    std::map<std::string, RunnerLoad> sum = m_sum;
    const auto own = m_instances.find(instance);
    if (own != m_instances.end())
        remove_load(sum, own->second.load);
    return sum;
}

} // namespace crosslink
