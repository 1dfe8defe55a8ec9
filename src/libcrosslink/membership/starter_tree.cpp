// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/starter_tree.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// How long an instance that asked counts before the platform lists it.
constexpr Micros starter_lifetime = std::chrono::seconds(10);
/// How long the tree stays as it is while few instances come.
constexpr Micros tree_lifetime = std::chrono::milliseconds(250);
/// The part by which the fleet grows before the tree is worked out sooner. In
/// the tree of the first few instances, all poll the holder.
constexpr std::size_t growth_divisor = 4;

} // namespace

std::vector<std::string>
StarterTree::parents_of(const InstanceInfo& instance, const Instances& listed,
                        const std::string& holder, TimePoint now)
{
    m_starters[instance.name] = {instance, now};
    if (is_outdated(listed, holder, now))
        build(listed, holder, now);
    return m_tree->parents(instance.name, instance.zone, instance.address);
}

bool
StarterTree::is_outdated(const Instances& listed, const std::string& holder,
                         TimePoint now) const
{
    const std::size_t known = std::max(listed.size(), m_starters.size());
    return !m_tree || holder != m_holder || now > m_built_at + tree_lifetime ||
           known > m_size + m_size / growth_divisor;
}

void
StarterTree::build(const Instances& listed, const std::string& holder,
                   TimePoint now)
{
    std::erase_if(m_starters, [now](const auto& item) {
        return now > item.second.asked + starter_lifetime;
    });
    std::vector<InstanceInfo> instances;
    instances.reserve(listed.size() + m_starters.size());
    for (const auto& [name, instance] : listed)
        instances.push_back(instance);
    for (const auto& [name, starter] : m_starters)
        if (!listed.contains(name))
            instances.push_back(starter.instance);
    m_size = instances.size();
    m_tree.emplace(instances, holder);
    m_holder = holder;
    m_built_at = now;
    ++m_builds;
}

} // namespace crosslink
