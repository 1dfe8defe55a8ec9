// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crosslink
{

class ServiceMap;

/// The resumable routes of a configuration, as the platform's record has them.
struct RecordedRoutes {
    std::string id; ///< The same for the same routes to the same services.
    std::shared_ptr<const ServiceMap> routes; ///< Without any other ones.
};

/// Returns the resumable routes of `map`.
RecordedRoutes resumable_routes(const ServiceMap& map);

/// Which services may have begun the streams that callers take up: those of the
/// routes in force, and those that a route had until lately. What two services
/// write does not fit together. The platform's record of routes outlives all
/// instances.
class RouteHistory
{
public:
    using Services = std::set<std::string, std::less<>>;

    /// Records that the routes of `map` are in force from `now` on.
    void in_force(const ServiceMap& map, TimePoint now);
    /// Records that the platform has a record of `routes`, as learned at `now`.
    void recorded(const RecordedRoutes& routes, TimePoint now);
    /// Records that the platform has no record `id`.
    void unrecorded(const std::string& id, TimePoint now);
    /// Records that the platform has no records but those with `ids`.
    void recorded_only(const std::set<std::string>& ids, TimePoint now);

    /// Returns whether a stream that a caller takes up at `service` at `now`
    /// may have begun at another service.
    bool shared(std::string_view service, TimePoint now) const;
    /// Returns the services for which that holds.
    Services shared(TimePoint now) const;

    /// Returns the routes that are or were lately in force and are not
    /// recorded; of many, the latest ones.
    std::vector<RecordedRoutes> to_record(TimePoint now) const;
    /// Returns the ids of records of routes that were not in force within
    /// StreamOrigins::lifetime.
    std::vector<std::string> to_unrecord(TimePoint now) const;

private:
    /// A host and a path prefix.
    using Place = std::pair<std::string, std::string>;
    /// The services of a route that went.
    struct Gone {
        Services services;
        TimePoint until{}; ///< When they stop to count.
    };
    struct Known {
        TimePoint used_at{}; ///< Last known in force, or found recorded.
        bool is_recorded = false;
    };

    bool is_current(const std::string& id) const { return id == m_current.id; }
    void note_moves(const ServiceMap& before, const ServiceMap& after,
                    TimePoint now);
    void note_move(const Services& from, const Services& to, TimePoint now);
    void note_gone(const Place& place, const Services& services, TimePoint now);
    void note_back(const Place& place, const Services& services, TimePoint now);
    void add_unrecorded(const RecordedRoutes& routes);
    void expire(TimePoint now);

    RecordedRoutes m_current; ///< Those in force; null before the first ones.
    Services m_split;         ///< Of those that have several.
    /// Until when each service of a route that moved counts.
    std::map<std::string, TimePoint, std::less<>> m_moved_until;
    std::map<Place, Gone> m_gone;
    std::map<std::string, Known> m_known; ///< By id.
    /// In force now or lately; the oldest is dropped first.
    std::deque<RecordedRoutes> m_unrecorded;
    /// Recorded ones that came before any were in force.
    std::vector<RecordedRoutes> m_uncompared;
};

} // namespace crosslink
