// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/route_history.h>

#include <crosslink/base/digest.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/forward/stream_origins.h>

#include <algorithm>

namespace crosslink
{

namespace
{

using Services = RouteHistory::Services;

/// Characters of the id of a record.
constexpr std::size_t id_length = 32;
/// Maximum number of unrecorded routes. More are in force within a round of the
/// record only in a storm of changes, and each takes memory as a configuration.
constexpr std::size_t max_unrecorded = 8;

bool
is_recent(TimePoint at, TimePoint now)
{
    return now < at + StreamOrigins::lifetime;
}

} // namespace

RecordedRoutes
resumable_routes(const ServiceMap& map)
{
    auto routes = std::make_shared<ServiceMap>();
    std::string text;
    map.for_each_route([&](const ServiceRoute& route) {
        if (!route.resumable)
            return;
        text += route.host + '\n' + route.path_prefix + '\n';
        for (const std::string& service : route.picked_services())
            text += service + '\n';
        text += '\n';
        routes->add_route(route);
    });
    return {sha256(text).hex().substr(0, id_length), std::move(routes)};
}

void
RouteHistory::in_force(const ServiceMap& map, TimePoint now)
{
    const RecordedRoutes routes = resumable_routes(map);
    if (m_current.routes) {
        m_known[m_current.id].used_at = now;
        note_moves(*m_current.routes, *routes.routes, now);
    }
    m_current = routes;
    for (const RecordedRoutes& before : m_uncompared)
        note_moves(*before.routes, *routes.routes, now);
    m_uncompared.clear();
    m_known[routes.id].used_at = now;
    if (!m_known[routes.id].is_recorded)
        add_unrecorded(routes);
    m_split.clear();
    routes.routes->for_each_route([this](const ServiceRoute& route) {
        Services services = route.picked_services();
        if (services.size() > 1)
            m_split.merge(services);
    });
    expire(now);
}

void
RouteHistory::recorded(const RecordedRoutes& routes, TimePoint now)
{
    const bool is_new = !m_known.contains(routes.id);
    m_known[routes.id] = {now, true};
    std::erase_if(m_unrecorded, [&routes](const RecordedRoutes& item) {
        return item.id == routes.id;
    });
    // Those that were in force here were compared then.
    if (is_new && m_current.routes)
        note_moves(*routes.routes, *m_current.routes, now);
    else if (is_new)
        m_uncompared.push_back(routes);
    expire(now);
}

void
RouteHistory::unrecorded(const std::string& id, TimePoint now)
{
    const auto found = m_known.find(id);
    if (found == m_known.end())
        return;
    found->second.is_recorded = false;
    if (is_current(id))
        add_unrecorded(m_current);
    expire(now);
}

void
RouteHistory::recorded_only(const std::set<std::string>& ids, TimePoint now)
{
    std::vector<std::string> gone;
    for (const auto& [id, known] : m_known)
        if (known.is_recorded && !ids.contains(id))
            gone.push_back(id);
    for (const std::string& id : gone)
        unrecorded(id, now);
}

void
RouteHistory::add_unrecorded(const RecordedRoutes& routes)
{
    std::erase_if(m_unrecorded, [&routes](const RecordedRoutes& item) {
        return item.id == routes.id;
    });
    m_unrecorded.push_back(routes);
    if (m_unrecorded.size() > max_unrecorded)
        m_unrecorded.pop_front();
}

void
RouteHistory::expire(TimePoint now)
{
    std::erase_if(m_known, [this, now](const auto& item) {
        return !is_current(item.first) && !item.second.is_recorded &&
               !is_recent(item.second.used_at, now);
    });
    std::erase_if(m_unrecorded, [this](const RecordedRoutes& item) {
        return !m_known.contains(item.id);
    });
    std::erase_if(m_gone,
                  [now](const auto& item) { return item.second.until <= now; });
    std::erase_if(m_moved_until,
                  [now](const auto& item) { return item.second <= now; });
}

/// Records that the services of routes count that have others in `after` than
/// in `before`.
void
RouteHistory::note_moves(const ServiceMap& before, const ServiceMap& after,
                         TimePoint now)
{
    const auto compare = [&](const ServiceRoute& one) {
        const Place place{one.host, one.path_prefix};
        const ServiceRoute* from = before.find_route(place.first, place.second);
        const ServiceRoute* to = after.find_route(place.first, place.second);
        // No call finds a route whose prefix does not end with a slash.
        if (!from && !to)
            return;
        if (from && to)
            note_move(from->picked_services(), to->picked_services(), now);
        else if (from)
            note_gone(place, from->picked_services(), now);
        else
            note_back(place, to->picked_services(), now);
    };
    // A route that came takes calls of one with a shorter prefix, and one that
    // went leaves its calls to it.
    before.for_each_route(compare);
    after.for_each_route(compare);
}

void
RouteHistory::note_move(const Services& from, const Services& to, TimePoint now)
{
    if (from == to)
        return;
    for (const Services& services : {from, to})
        for (const std::string& service : services)
            m_moved_until[service] = now + StreamOrigins::lifetime;
}

/// Records that a route went: it may be back with other services.
void
RouteHistory::note_gone(const Place& place, const Services& services,
                        TimePoint now)
{
    Gone& gone = m_gone[place];
    gone.services.insert(services.begin(), services.end());
    gone.until = now + StreamOrigins::lifetime;
}

/// Records that a route came, which may have been there before.
void
RouteHistory::note_back(const Place& place, const Services& services,
                        TimePoint now)
{
    const auto gone = m_gone.find(place);
    if (gone != m_gone.end() && now < gone->second.until)
        note_move(gone->second.services, services, now);
}

bool
RouteHistory::shared(std::string_view service, TimePoint now) const
{
    const auto moved = m_moved_until.find(service);
    return m_split.contains(service) ||
           (moved != m_moved_until.end() && now < moved->second);
}

RouteHistory::Services
RouteHistory::shared(TimePoint now) const
{
    Services services = m_split;
    for (const auto& [service, until] : m_moved_until)
        if (now < until)
            services.insert(service);
    return services;
}

std::vector<RecordedRoutes>
RouteHistory::to_record(TimePoint now) const
{
    std::vector<RecordedRoutes> result;
    for (const RecordedRoutes& routes : m_unrecorded)
        if (routes.routes->route_count() > 0 &&
            (is_current(routes.id) ||
             is_recent(m_known.at(routes.id).used_at, now)))
            result.push_back(routes);
    return result;
}

std::vector<std::string>
RouteHistory::to_unrecord(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& [id, known] : m_known)
        if (known.is_recorded && !is_current(id) &&
            !is_recent(known.used_at, now))
            result.push_back(id);
    return result;
}

} // namespace crosslink
