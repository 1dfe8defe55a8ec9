// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fleet_tree.h>

#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace crosslink
{

namespace
{

/// Sorts `instances` by their weight for `key`, highest first; those with weak
/// links are last.
void
sort_by_weight(std::vector<InstanceInfo>& instances, std::string_view key)
{
    const auto rank = [key](const InstanceInfo& instance) {
        return std::tuple(instance.link_mbps >= strong_link_mbps,
                          rendezvous_weight(key, instance.name),
                          std::string_view(instance.name));
    };
    std::sort(instances.begin(), instances.end(),
              [&rank](const InstanceInfo& a, const InstanceInfo& b) {
                  return rank(a) > rank(b);
              });
}

} // namespace

FleetTree::FleetTree(std::span<const InstanceInfo> instances,
                     std::string holder)
    : m_instances(instances.begin(), instances.end()),
      m_holder(std::move(holder))
{
}

/// Returns the instances that the others of `zone` poll; none in a small fleet.
std::vector<InstanceInfo>
FleetTree::zone_parents(std::string_view zone) const
{
    if (m_instances.size() <= max_children)
        return {};
    std::vector<InstanceInfo> chosen;
    for (const InstanceInfo& instance : m_instances)
        if (instance.zone == zone && instance.address != m_holder)
            chosen.push_back(instance);
    sort_by_weight(chosen, zone);
    const std::size_t wanted =
        (chosen.size() + max_children - 1) / max_children;
    chosen.resize(std::min(wanted, chosen.size()));
    return chosen;
}

std::vector<std::string>
FleetTree::parents(std::string_view name, std::string_view zone,
                   std::string_view own) const
{
    std::vector<std::string> addresses;
    if (!is_parent(name, zone)) {
        std::vector<InstanceInfo> candidates = zone_parents(zone);
        sort_by_weight(candidates, name);
        for (const InstanceInfo& instance : candidates)
            addresses.push_back(instance.address);
    }
    if (!m_holder.empty())
        addresses.push_back(m_holder);
    std::erase(addresses, own);
    return addresses;
}

bool
FleetTree::is_parent(std::string_view name, std::string_view zone) const
{
    const std::vector<InstanceInfo> selected = zone_parents(zone);
    return std::any_of(
        selected.begin(), selected.end(),
        [name](const InstanceInfo& instance) { return instance.name == name; });
}

} // namespace crosslink
