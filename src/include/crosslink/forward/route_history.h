// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace crosslink
{

class ServiceMap;
struct ServiceRoute;

/// Which services may have begun the streams that callers take up: those of the
/// routes in force, and those that a route had until lately. What two services
/// write does not fit together.
class RouteHistory
{
public:
    using Services = std::set<std::string, std::less<>>;

    /// Records that `after` replaces `before` at `now`. `before` is null for
    /// the first map.
    void replaced(const ServiceMap* before, const ServiceMap& after,
                  TimePoint now);
    /// Returns whether a stream that a caller takes up at `service` at `now`
    /// may have begun at another service.
    bool shared(std::string_view service, TimePoint now) const;
    /// Returns the services for which that holds.
    Services shared(TimePoint now) const;

private:
    void note_move(const ServiceRoute& from, const ServiceRoute& to,
                   TimePoint now);

    Services m_split; ///< Of the routes in force that have several.
    /// For each service of a route that moved, when a route of it moved last.
    std::map<std::string, TimePoint, std::less<>> m_moved_at;
};

} // namespace crosslink
