// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/load_board.h>

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
LoadBoard::told(std::string_view instance,
                const std::map<std::string, RunnerLoad>& own, TimePoint now)
{
    std::erase_if(m_instances, [now](const auto& item) {
        return now - item.second.at > load_holds;
    });
    m_instances[std::string(instance)] = {own, now};
}

std::map<std::string, RunnerLoad>
LoadBoard::others(std::string_view instance, TimePoint now) const
{
    std::map<std::string, RunnerLoad> sum;
    for (const auto& [name, told] : m_instances) {
        if (name == instance || now - told.at > load_holds)
            continue;
        add_load(sum, told.load);
    }
    return sum;
}

} // namespace crosslink
