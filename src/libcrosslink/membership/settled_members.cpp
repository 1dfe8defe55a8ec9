// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/settled_members.h>

#include <crosslink/membership/rendezvous.h>

#include <algorithm>

namespace crosslink
{

void
SettledMembers::listed(const InstanceInfo& instance, TimePoint now)
{
    expire(now);
    const auto [found, is_new] = m_members.try_emplace(instance.name);
    Member& member = found->second;
    if (is_new || member.gone_at)
        member.since = now;
    member.gone_at.reset();
    member.zone = instance.zone;
}

void
SettledMembers::gone(std::string_view name, TimePoint now)
{
    const auto found = m_members.find(name);
    if (found != m_members.end() && !found->second.gone_at)
        found->second.gone_at = now;
}

void
SettledMembers::keep_only(const std::set<std::string>& names, TimePoint now)
{
    for (const auto& [name, member] : m_members)
        if (!names.contains(name))
            gone(name, now);
}

/// Forgets those that left long ago.
void
SettledMembers::expire(TimePoint now)
{
    std::erase_if(m_members, [this, now](const auto& item) {
        return !counts(item.second, now);
    });
}

bool
SettledMembers::counts(const Member& member, TimePoint now) const
{
    return !member.gone_at || now < *member.gone_at + m_settle;
}

/// Returns whether an instance of `zone` counts.
bool
SettledMembers::has_any(std::string_view zone, TimePoint now) const
{
    return std::any_of(
        m_members.begin(), m_members.end(), [&](const auto& item) {
            return item.second.zone == zone && counts(item.second, now);
        });
}

std::size_t
SettledMembers::count(std::string_view zone, TimePoint now) const
{
    const bool any_zone = !has_any(zone, now);
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& item) {
            return counts(item.second, now) &&
                   (any_zone || item.second.zone == zone);
        }));
}

bool
SettledMembers::has_share(std::string_view name, std::string_view key,
                          std::string_view zone, std::size_t most,
                          TimePoint now) const
{
    const auto own = m_members.find(name);
    if (own == m_members.end() || own->second.gone_at ||
        now < own->second.since + m_settle)
        return false;
    const bool any_zone = !has_any(zone, now);
    if (!any_zone && own->second.zone != zone)
        return false;
    const std::uint64_t own_weight = rendezvous_weight(key, name);
    const auto before = std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& item) {
            return (any_zone || item.second.zone == zone) &&
                   counts(item.second, now) &&
                   rendezvous_weight(key, item.first) > own_weight;
        });
    return static_cast<std::size_t>(before) < most;
}

} // namespace crosslink
