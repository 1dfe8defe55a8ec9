// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The fleet's tree as the holder of the duty tells it to instances that start:
/// over those that the platform lists, and those that asked before the platform
/// lists them. All instances may ask in the same second, so the tree is worked
/// out anew only a few times a second, or when many have come.
class StarterTree
{
public:
    using Instances = std::map<std::string, InstanceInfo, std::less<>>;

    /// Records that `instance` asks at `now`, and returns the addresses that it
    /// may poll, in order of preference. `listed` are the listed instances by
    /// name, `holder` is the address of the holder.
    std::vector<std::string> parents_of(const InstanceInfo& instance,
                                        const Instances& listed,
                                        const std::string& holder,
                                        TimePoint now);
    /// Returns how often the tree was worked out.
    std::size_t builds() const { return m_builds; }

private:
    struct Starter {
        InstanceInfo instance;
        TimePoint asked{};
    };

    bool is_outdated(const Instances& listed, const std::string& holder,
                     TimePoint now) const;
    void build(const Instances& listed, const std::string& holder,
               TimePoint now);

    std::map<std::string, Starter, std::less<>> m_starters; ///< By name.
    std::optional<FleetTree> m_tree;
    std::string m_holder;   ///< That the tree was worked out for.
    std::size_t m_size = 0; ///< Instances in the tree.
    TimePoint m_built_at{};
    std::size_t m_builds = 0;
};

} // namespace crosslink
