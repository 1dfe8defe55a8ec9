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
    const auto earlier = m_routes.find(m_current);
    if (earlier != m_routes.end())
        earlier->second.used_at = now;
    m_current = routes.id;
    Routes& current = m_routes[routes.id];
    current.map = routes.routes;
    current.used_at = now;
    update(now);
}

void
RouteHistory::recorded(const RecordedRoutes& routes, TimePoint now)
{
    Routes& known = m_routes[routes.id];
    if (!known.map)
        known.map = routes.routes;
    known.used_at = now;
    known.is_recorded = true;
    update(now);
}

void
RouteHistory::unrecorded(const std::string& id, TimePoint now)
{
    const auto found = m_routes.find(id);
    if (found == m_routes.end())
        return;
    found->second.is_recorded = false;
    update(now);
}

void
RouteHistory::recorded_only(const std::set<std::string>& ids, TimePoint now)
{
    for (auto& [id, routes] : m_routes)
        if (!ids.contains(id))
            routes.is_recorded = false;
    update(now);
}

/// Returns whether streams may have begun while `routes` were in force.
bool
RouteHistory::counts(const std::string& id, const Routes& routes,
                     TimePoint now) const
{
    return is_current(id) || routes.is_recorded ||
           now < routes.used_at + StreamOrigins::lifetime;
}

/// Works out anew which services share streams.
void
RouteHistory::update(TimePoint now)
{
    std::erase_if(m_routes, [this, now](const auto& item) {
        return !counts(item.first, item.second, now);
    });
    m_split.clear();
    m_moved_until.clear();
    const auto current = m_routes.find(m_current);
    if (current == m_routes.end())
        return;
    current->second.map->for_each_route([this](const ServiceRoute& route) {
        Services services = route.picked_services();
        if (services.size() > 1)
            m_split.merge(services);
    });
    for (const auto& [id, routes] : m_routes)
        if (!is_current(id))
            note_moves(*routes.map,
                       routes.is_recorded
                           ? TimePoint::max()
                           : routes.used_at + StreamOrigins::lifetime);
}

/// Records until when the services count of routes that have others now than
/// `before`.
void
RouteHistory::note_moves(const ServiceMap& before, TimePoint until)
{
    const ServiceMap& after = *m_routes.at(m_current).map;
    const auto compare = [&](const ServiceRoute& place) {
        const ServiceRoute* from =
            before.find_route(place.host, place.path_prefix);
        const ServiceRoute* to =
            after.find_route(place.host, place.path_prefix);
        if (!from || !to || from->picked_services() == to->picked_services())
            return;
        for (const ServiceRoute* route : {from, to})
            for (const std::string& service : route->picked_services()) {
                TimePoint& known = m_moved_until[service];
                known = std::max(known, until);
            }
    };
    // A route that came takes calls of one with a shorter prefix, and one that
    // went leaves its calls to it.
    before.for_each_route(compare);
    after.for_each_route(compare);
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
    for (const auto& [id, routes] : m_routes)
        if (!routes.is_recorded && routes.map->route_count() > 0 &&
            counts(id, routes, now))
            result.push_back({id, routes.map});
    return result;
}

std::vector<std::string>
RouteHistory::to_unrecord(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& [id, routes] : m_routes)
        if (routes.is_recorded && !is_current(id) &&
            now >= routes.used_at + StreamOrigins::lifetime)
            result.push_back(id);
    return result;
}

} // namespace crosslink
