// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/route_history.h>

#include <crosslink/forward/service_map.h>
#include <crosslink/forward/stream_origins.h>

namespace crosslink
{

namespace
{

bool
is_recent(TimePoint at, TimePoint now)
{
    return now < at + StreamOrigins::lifetime;
}

} // namespace

void
RouteHistory::replaced(const ServiceMap* before, const ServiceMap& after,
                       TimePoint now)
{
    std::erase_if(m_moved_at, [now](const auto& item) {
        return !is_recent(item.second, now);
    });
    m_split.clear();
    after.for_each_route([&](const ServiceRoute& to) {
        if (!to.resumable)
            return;
        Services services = to.picked_services();
        if (services.size() > 1)
            m_split.merge(services);
        const ServiceRoute* from =
            before ? before->find_route(to.host, to.path_prefix) : nullptr;
        if (from)
            note_move(*from, to, now);
    });
    if (!before)
        return;
    // A route that is gone leaves its calls to one with a shorter prefix.
    before->for_each_route([&](const ServiceRoute& from) {
        const ServiceRoute* to = after.find_route(from.host, from.path_prefix);
        if (to && to->resumable && to->path_prefix != from.path_prefix)
            note_move(from, *to, now);
    });
}

/// Records that calls of `from` go to `to` now.
void
RouteHistory::note_move(const ServiceRoute& from, const ServiceRoute& to,
                        TimePoint now)
{
    const Services earlier = from.picked_services();
    const Services later = to.picked_services();
    if (!from.resumable || earlier == later)
        return;
    for (const Services& services : {earlier, later})
        for (const std::string& service : services)
            m_moved_at[service] = now;
}

bool
RouteHistory::shared(std::string_view service, TimePoint now) const
{
    const auto moved = m_moved_at.find(service);
    return m_split.contains(service) ||
           (moved != m_moved_at.end() && is_recent(moved->second, now));
}

RouteHistory::Services
RouteHistory::shared(TimePoint now) const
{
    Services services = m_split;
    for (const auto& [service, at] : m_moved_at)
        if (is_recent(at, now))
            services.insert(service);
    return services;
}

} // namespace crosslink
