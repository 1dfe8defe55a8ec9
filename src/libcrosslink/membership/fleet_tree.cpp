// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fleet_tree.h>

#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace crosslink
{

namespace
{

bool
is_strong(const InstanceInfo& instance)
{
    return instance.link_mbps >= strong_link_mbps;
}

/// Sorts `instances` by their weight for `key`, highest first; those with weak
/// links are last.
void
sort_by_weight(std::vector<InstanceInfo>& instances, std::string_view key)
{
    const auto rank = [key](const InstanceInfo& instance) {
        return std::tuple(is_strong(instance),
                          rendezvous_weight(key, instance.name),
                          std::string_view(instance.name));
    };
    std::sort(instances.begin(), instances.end(),
              [&rank](const InstanceInfo& a, const InstanceInfo& b) {
                  return rank(a) > rank(b);
              });
}

/// Sorts parents by the preference of the instance `name`: weighted rendezvous,
/// by which a strong parent gets as many more children than a weak one as the
/// constants say.
void
sort_by_preference(std::vector<InstanceInfo>& parents, std::string_view name)
{
    constexpr double largest_hash =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const auto score = [name](const InstanceInfo& parent) {
        const auto weight =
            static_cast<double>(rendezvous_weight(name, parent.name));
        const std::size_t capacity =
            is_strong(parent) ? max_children_of_strong : max_children;
        return std::log(weight / largest_hash) / static_cast<double>(capacity);
    };
    std::sort(parents.begin(), parents.end(),
              [&score](const InstanceInfo& a, const InstanceInfo& b) {
                  return score(a) > score(b);
              });
}

constexpr std::size_t
divided_up(std::size_t number, std::size_t divisor)
{
    return (number + divisor - 1) / divisor;
}

/// The instances of a zone, without the holder of the duty.
struct ZoneSize {
    std::size_t all = 0;
    std::size_t strong = 0;

    void add(const InstanceInfo& instance)
    {
        ++all;
        strong += is_strong(instance) ? 1 : 0;
    }
    /// Returns how many of them the others poll. Weak ones are used only where
    /// the strong ones would have too many children.
    std::size_t parents() const
    {
        return std::min(
            divided_up(all, max_children),
            std::max(strong, divided_up(all, max_children_of_strong)));
    }
};

} // namespace

FleetTree::FleetTree(std::span<const InstanceInfo> instances,
                     std::string holder)
    : m_instances(instances.begin(), instances.end()),
      m_holder(std::move(holder)), m_under_holder(count_under_holder())
{
}

/// Returns how many parents of each zone poll the holder: all of them, unless
/// they are too many for it.
std::size_t
FleetTree::count_under_holder() const
{
    std::map<std::string_view, ZoneSize> zones;
    for (const InstanceInfo& instance : m_instances)
        if (instance.address != m_holder)
            zones[instance.zone].add(instance);
    std::size_t parents = 0;
    for (const auto& [zone, size] : zones)
        parents += size.parents();
    if (parents <= max_children_of_holder)
        return parents;
    return std::max<std::size_t>(max_children_of_holder / zones.size(), 1);
}

/// Returns the instances that the others of `zone` poll, those that poll the
/// holder first; none in a small fleet.
const std::vector<InstanceInfo>&
FleetTree::zone_parents(std::string_view zone) const
{
    const auto known = m_zone_parents.find(zone);
    if (known != m_zone_parents.end())
        return known->second;
    return m_zone_parents.emplace(zone, choose_zone_parents(zone))
        .first->second;
}

std::vector<InstanceInfo>
FleetTree::choose_zone_parents(std::string_view zone) const
{
    if (m_instances.size() <= max_children)
        return {};
    std::vector<InstanceInfo> chosen;
    ZoneSize size;
    for (const InstanceInfo& instance : m_instances) {
        if (instance.zone != zone || instance.address == m_holder)
            continue;
        chosen.push_back(instance);
        size.add(instance);
    }
    sort_by_weight(chosen, zone);
    chosen.resize(size.parents());
    return chosen;
}

std::vector<std::string>
FleetTree::parents(std::string_view name, std::string_view zone,
                   std::string_view own) const
{
    std::vector<InstanceInfo> candidates = zone_parents(zone);
    const auto self = std::find_if(
        candidates.begin(), candidates.end(),
        [name](const InstanceInfo& parent) { return parent.name == name; });
    const auto rank = static_cast<std::size_t>(self - candidates.begin());
    if (rank < m_under_holder && self != candidates.end())
        candidates.clear();
    else if (self != candidates.end())
        candidates.resize(m_under_holder);
    sort_by_preference(candidates, name);
    std::vector<std::string> addresses;
    addresses.reserve(candidates.size() + 1);
    for (const InstanceInfo& instance : candidates)
        addresses.push_back(instance.address);
    if (!m_holder.empty())
        addresses.push_back(m_holder);
    std::erase(addresses, own);
    return addresses;
}

bool
FleetTree::is_parent(std::string_view name, std::string_view zone) const
{
    const std::vector<InstanceInfo>& selected = zone_parents(zone);
    return std::any_of(
        selected.begin(), selected.end(),
        [name](const InstanceInfo& instance) { return instance.name == name; });
}

} // namespace crosslink
