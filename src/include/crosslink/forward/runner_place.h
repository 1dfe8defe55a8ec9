// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>
#include <string_view>
#include <tuple>

namespace crosslink
{

/// A runner, and the runners that may fail together with it: those of its
/// service, and those of its availability zone.
struct RunnerPlace {
    std::string_view runner; ///< Id; empty for any of the service and zone.
    std::string_view service;
    std::string_view zone;
};

/// The runners of one service, of one zone, of both, or all of them.
struct RunnerGroup {
    std::string service; ///< Empty for all.
    std::string zone;    ///< Empty for all.

    /// Returns whether the runner at `place` belongs to the group.
    bool contains(const RunnerPlace& place) const
    {
        return (service.empty() || service == place.service) &&
               (zone.empty() || zone == place.zone);
    }
    bool operator<(const RunnerGroup& other) const
    {
        return std::tie(service, zone) < std::tie(other.service, other.zone);
    }
    bool operator==(const RunnerGroup&) const = default;
};

} // namespace crosslink
