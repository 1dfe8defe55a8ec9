// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Instances with a weaker link neither hold the duty nor answer many others as
/// long as there are stronger ones: answers to all that ask would fill it.
constexpr double strong_link_mbps = 50;
/// Number of instances that poll the same instance for changes, each about
/// seven times a second.
constexpr std::size_t max_children = 16;
/// The same for instances with strong links in a zone that has few of them.
constexpr std::size_t max_children_of_strong = 32;
/// Number of instances that poll the holder of the duty, seven times a second.
/// It has a strong link where there is any.
constexpr std::size_t max_children_of_holder = 24;

/// Determines which instances each instance polls for changes and load, so that
/// none answers more than about as many others as the constants above. In a
/// small fleet all poll the holder of the duty; in a larger one some instances
/// of each zone, its parents, poll the holder, and the others of the zone poll
/// these. Where the parents of all zones are too many for the holder, a few of
/// each zone poll it, and the other parents poll these. Each instance computes
/// the tree itself from its list of instances. Where the lists differ, some
/// poll an instance that does not expect it; this only makes the data that they
/// get older. Not thread-safe: what is worked out for a zone is kept.
class FleetTree
{
public:
    /// `instances` are all listed instances. `holder` is the address of the
    /// instance that holds the duty; empty if none does.
    FleetTree(std::span<const InstanceInfo> instances, std::string holder);

    /// Returns the addresses that the instance `name` of `zone` may poll, in
    /// order of preference, without `own`, its own address.
    std::vector<std::string> parents(std::string_view name,
                                     std::string_view zone,
                                     std::string_view own) const;
    /// Returns whether other instances of `zone` poll `name`.
    bool is_parent(std::string_view name, std::string_view zone) const;

private:
    const std::vector<InstanceInfo>& zone_parents(std::string_view zone) const;
    std::vector<InstanceInfo> choose_zone_parents(std::string_view zone) const;
    std::size_t count_under_holder() const;

    std::vector<InstanceInfo> m_instances;
    std::string m_holder;
    /// Number of parents of a zone that poll the holder.
    std::size_t m_under_holder;
    /// The results of zone_parents(), by zone.
    mutable std::map<std::string, std::vector<InstanceInfo>, std::less<>>
        m_zone_parents;
};

} // namespace crosslink
