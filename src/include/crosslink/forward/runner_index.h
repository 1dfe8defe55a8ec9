// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Which runners of a RunnerTable have a property that is asked for many times
/// a second, so that an answer costs by the runners that have it and not by the
/// size of the fleet. A set may hold a runner that has lost its property; the
/// table checks the entry.
class RunnerIndex
{
public:
    using Ids = std::set<std::string, std::less<>>;

    /// The runners of one service in one zone, in no order.
    struct Group {
        std::vector<std::string> ids;
    };
    /// The groups of one service, by zone.
    using Groups = std::map<std::string, Group, std::less<>>;

    /// Adds a listed runner to the group of its service and zone.
    void add(std::string_view id, std::string_view service,
             std::string_view zone);
    /// Removes a runner from its group and from all sets.
    void remove(std::string_view id);
    /// Returns the groups of a service; null if it has no runners.
    const Groups* groups(std::string_view service) const;
    /// Returns the number of runners of all services in `zone`.
    std::size_t count_in_zone(std::string_view zone) const;

    Ids busy;    ///< Runners with calls of this instance.
    Ids loaded;  ///< With load of other instances, or load not reported yet.
    Ids noticed; ///< With a limit, an announced exit or a connection failure.
    Ids lapsed;  ///< No longer listed.

private:
    /// Where a runner stands in its group.
    struct Place {
        std::string service;
        std::string zone;
        std::size_t position = 0;
    };

    std::map<std::string, Groups, std::less<>> m_groups; ///< By service.
    std::map<std::string, Place, std::less<>> m_places;  ///< By id.
    std::map<std::string, std::size_t, std::less<>> m_in_zone;
};

} // namespace crosslink
