// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/home_runners.h>

#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/membership/settled_members.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Least number of instances of a zone for which runners have homes.
constexpr std::size_t min_instances_with_homes = 6;
/// Home runners that an instance has at least, on average: few enough that it
/// knows most of their load, and enough to choose from.
constexpr std::size_t home_runners = 5;

/// Returns how many instances each of `runners` is home to. Where there are
/// more instances than runners, there are more of them, so that every instance
/// has some runners to choose from.
std::size_t
instances_per_runner(std::size_t instances, std::size_t runners,
                     std::size_t least)
{
    const std::size_t needed =
        (home_runners * instances + runners - 1) / runners;
    return std::max(least, needed);
}

} // namespace

HomeRunners::HomeRunners(const SettledMembers& members,
                         const RunnerQuery& query, std::size_t runners,
                         std::size_t max_runners)
    : m_members(members), m_query(query)
{
    if (query.home_instances == 0 || runners == 0 || runners > max_runners)
        return;
    const std::size_t instances = members.count(query.zone, query.now);
    if (instances >= min_instances_with_homes)
        m_instances =
            instances_per_runner(instances, runners, query.home_instances);
}

bool
HomeRunners::contains(const RunnerEntry& entry) const
{
    return exist() && entry.listed.zone == m_query.zone &&
           m_members.has_share(m_query.instance, entry.listed.id, m_query.zone,
                               m_instances, m_query.now);
}

} // namespace crosslink
