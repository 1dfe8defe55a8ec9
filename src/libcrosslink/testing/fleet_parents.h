// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// Returns the numbers of the instances that each instance of a simulated fleet
/// polls, in its order of preference. `holder` has the duty.
inline std::vector<std::vector<std::size_t>>
fleet_parents(const std::vector<InstanceInfo>& fleet, std::size_t holder)
{
    std::map<std::string, std::size_t> numbers;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        numbers[fleet[i].address] = i;
    const FleetTree tree(fleet, fleet[holder].address);
    std::vector<std::vector<std::size_t>> parents(fleet.size());
    for (std::size_t i = 0; i < fleet.size(); ++i)
        for (const std::string& address :
             tree.parents(fleet[i].name, fleet[i].zone, fleet[i].address))
            parents[i].push_back(numbers.at(address));
    return parents;
}

} // namespace crosslink::testing
