// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/load_board.h>

namespace crosslink
{

namespace
{

/// What was told longer ago says nothing of now; it is told several times a
/// second.
constexpr Micros told_holds = std::chrono::seconds(1);

} // namespace

void
LoadBoard::told(std::string_view instance,
                const std::map<std::string, RunnerLoad>& own, TimePoint now)
{
    std::erase_if(m_instances, [now](const auto& item) {
        return now - item.second.at > told_holds;
    });
    m_instances[std::string(instance)] = {own, now};
}

std::map<std::string, RunnerLoad>
LoadBoard::others(std::string_view instance, TimePoint now) const
{
    std::map<std::string, RunnerLoad> sum;
    for (const auto& [name, told] : m_instances) {
        if (name == instance || now - told.at > told_holds)
            continue;
        for (const auto& [runner, load] : told.load) {
            RunnerLoad& total = sum[runner];
            total.calls += load.calls;
            total.tokens += load.tokens;
            total.resident += load.resident;
        }
    }
    return sum;
}

} // namespace crosslink
