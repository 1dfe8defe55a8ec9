// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/settled_members.h>

#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

namespace crosslink
{

namespace
{

/// Maximum number of keys with a cached result; limited since runners come and
/// go under new ids.
constexpr std::size_t max_cached_keys = 4096;

} // namespace

void
SettledMembers::listed(const InstanceInfo& instance, TimePoint now)
{
    expire(now);
    invalidate();
    const auto [found, is_new] = m_members.try_emplace(instance.name);
    Member& member = found->second;
    if (is_new || member.gone_at)
        member.since = now;
    if (member.gone_at)
        m_gone.erase(instance.name);
    member.gone_at.reset();
    member.zone = instance.zone;
}

void
SettledMembers::gone(std::string_view name, TimePoint now)
{
    const auto found = m_members.find(name);
    if (found == m_members.end() || found->second.gone_at)
        return;
    found->second.gone_at = now;
    m_gone.emplace(name);
    m_expire_at = std::min(m_expire_at, now + m_settle);
    invalidate();
}

void
SettledMembers::keep_only(const std::set<std::string>& names, TimePoint now)
{
    for (const auto& [name, member] : m_members)
        if (!names.contains(name))
            gone(name, now);
}

/// Removes the members that left and no longer count.
void
SettledMembers::expire(TimePoint now)
{
    if (now < m_expire_at)
        return;
    m_expire_at = TimePoint::max();
    std::erase_if(m_gone, [this, now](const std::string& name) {
        ++m_visited;
        const auto member = m_members.find(name);
        if (!counts(member->second, now)) {
            m_members.erase(member);
            return true;
        }
        m_expire_at = std::min(m_expire_at, *member->second.gone_at + m_settle);
        return false;
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
    const auto found = m_counts.find(zone);
    if (found != m_counts.end() && found->second.valid.holds(now))
        return found->second.members;
    const Count counted{compute_count(zone, now), validity(now)};
    m_counts.insert_or_assign(std::string(zone), counted);
    return counted.members;
}

std::size_t
SettledMembers::compute_count(std::string_view zone, TimePoint now) const
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
                          std::string_view zone, std::size_t max_instances,
                          TimePoint now) const
{
    return rank(name, key, zone, now).ahead < max_instances;
}

const SettledMembers::Rank&
SettledMembers::rank(std::string_view name, std::string_view key,
                     std::string_view zone, TimePoint now) const
{
    const auto found = m_ranks.find(key);
    const bool holds = found != m_ranks.end() && found->second.name == name &&
                       found->second.zone == zone &&
                       found->second.valid.holds(now);
    if (holds)
        return found->second;
    if (m_ranks.size() >= max_cached_keys)
        m_ranks.clear();
    return m_ranks
        .insert_or_assign(std::string(key), compute_rank(name, key, zone, now))
        .first->second;
}

SettledMembers::Rank
SettledMembers::compute_rank(std::string_view name, std::string_view key,
                             std::string_view zone, TimePoint now) const
{
    Rank rank{std::string(name), std::string(zone),
              std::numeric_limits<std::size_t>::max(), validity(now)};
    const auto own = m_members.find(name);
    if (own == m_members.end() || !is_settled(own->second, now))
        return rank;
    const bool any_zone = !has_any(zone, now);
    if (!any_zone && own->second.zone != zone)
        return rank;
    const std::uint64_t own_weight = rendezvous_weight(key, name);
    rank.ahead = static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& item) {
            return (any_zone || item.second.zone == zone) &&
                   counts(item.second, now) &&
                   rendezvous_weight(key, item.first) > own_weight;
        }));
    return rank;
}

const std::vector<std::string>&
SettledMembers::holders(std::string_view key, std::string_view zone,
                        std::size_t max_instances, TimePoint now) const
{
    const auto found = m_holders.find(key);
    const bool holds = found != m_holders.end() && found->second.zone == zone &&
                       found->second.max_instances == max_instances &&
                       found->second.valid.holds(now);
    if (holds)
        return found->second.names;
    if (m_holders.size() >= max_cached_keys)
        m_holders.clear();
    Holders holders{std::string(zone), max_instances,
                    compute_holders(key, zone, max_instances, now),
                    validity(now)};
    return m_holders.insert_or_assign(std::string(key), std::move(holders))
        .first->second.names;
}

std::vector<std::string>
SettledMembers::compute_holders(std::string_view key, std::string_view zone,
                                std::size_t max_instances, TimePoint now) const
{
    const bool any_zone = !has_any(zone, now);
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (const auto& [name, member] : m_members)
        if ((any_zone || member.zone == zone) && counts(member, now))
            ranked.emplace_back(rendezvous_weight(key, name), name);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(std::min(ranked.size(), max_instances));
    std::vector<std::string> names;
    for (const auto& [weight, name] : ranked)
        if (is_settled(m_members.find(name)->second, now))
            names.emplace_back(name);
    return names;
}

/// Returns whether an instance that counts may take its share.
bool
SettledMembers::is_settled(const Member& member, TimePoint now) const
{
    return !member.gone_at && now >= member.since + m_settle;
}

/// Returns the period in which results computed at `now` are valid.
SettledMembers::Validity
SettledMembers::validity(TimePoint now) const
{
    Validity valid{now, TimePoint::max()};
    for (const auto& [name, member] : m_members) {
        const TimePoint settled =
            member.gone_at.value_or(member.since) + m_settle;
        if (settled > now)
            valid.until = std::min(valid.until, settled);
    }
    return valid;
}

/// Clears the results computed from the members before they changed.
void
SettledMembers::invalidate()
{
    m_counts.clear();
    m_ranks.clear();
    m_holders.clear();
}

} // namespace crosslink
