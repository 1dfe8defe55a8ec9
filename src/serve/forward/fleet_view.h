// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/membership/holder_history.h>
#include <crosslink/membership/instance_info.h>
#include <crosslink/membership/platform_availability.h>
#include <crosslink/weights/rollout_record.h>
#include <crosslink/weights/weights_history.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace crosslink
{

/// The state of the fleet as read from the platform.
struct FleetView {
    /// Runners are ordered to load weights again `settle` after the platform
    /// has become reachable.
    explicit FleetView(Micros settle) : reach(settle) {}

    std::shared_ptr<const ServiceMap> map; ///< Null before the first one.
    bool runners_listed = false; ///< The runners were read at least once.
    std::map<std::string, WeightsHistory, std::less<>> weights; ///< By model.
    /// The versions of weights that the platform has recorded, by model.
    std::map<std::string, RolloutRecord, std::less<>> rollouts;
    std::map<std::string, InstanceInfo, std::less<>> instances; ///< By name.
    std::uint64_t instances_version = 0; ///< Grows when `instances` changes.
    /// Peer address of the instance that holds the coordinator duty, as the
    /// platform names it; empty for none.
    std::string coordinator;
    HolderHistory holders; ///< Of the coordinator duty.
    PlatformAvailability reach;
    /// Peer address of the holder that another instance reported after the
    /// platform's last report; empty for none.
    std::string peer_reported_coordinator;

    /// Returns the address for requests to the holder of the coordinator duty;
    /// empty if no holder is known.
    const std::string& coordinator_address() const
    {
        return peer_reported_coordinator.empty() ? coordinator
                                                 : peer_reported_coordinator;
    }
};

} // namespace crosslink
