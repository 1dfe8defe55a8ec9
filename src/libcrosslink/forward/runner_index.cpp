// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_index.h>

#include <utility>

namespace crosslink
{

void
RunnerIndex::add(std::string_view id, std::string_view service,
                 std::string_view zone)
{
    const auto known = m_places.find(id);
    if (known != m_places.end()) {
        if (known->second.service == service && known->second.zone == zone)
            return;
        remove(id);
    }
    Group& group = m_groups[std::string(service)][std::string(zone)];
    m_places.insert_or_assign(
        std::string(id),
        Place{std::string(service), std::string(zone), group.ids.size()});
    group.ids.emplace_back(id);
    ++m_in_zone[std::string(zone)];
}

void
RunnerIndex::remove(std::string_view id)
{
    for (Ids* set : {&busy, &loaded, &noticed, &lapsed})
        if (const auto found = set->find(id); found != set->end())
            set->erase(found);
    const auto found = m_places.find(id);
    if (found == m_places.end())
        return;
    const Place place = found->second;
    m_places.erase(found);
    --m_in_zone[place.zone];
    // The last one of the group takes its position.
    std::vector<std::string>& ids = m_groups[place.service][place.zone].ids;
    if (place.position + 1 < ids.size()) {
        ids[place.position] = std::move(ids.back());
        m_places.find(ids[place.position])->second.position = place.position;
    }
    ids.pop_back();
}

const RunnerIndex::Groups*
RunnerIndex::groups(std::string_view service) const
{
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? nullptr : &found->second;
}

std::size_t
RunnerIndex::count_in_zone(std::string_view zone) const
{
    const auto found = m_in_zone.find(zone);
    return found == m_in_zone.end() ? 0 : found->second;
}

} // namespace crosslink
