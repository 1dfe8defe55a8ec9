// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/membership/change_page.h>
#include <crosslink/membership/instance_info.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace crosslink
{

/// The operator's configuration in force.
struct ServiceMapChanged {
    std::shared_ptr<const ServiceMap> map;
};

/// New weights that the runners are to be brought to.
struct WeightsNamed {
    std::string model;
    std::uint64_t version = 0;
};

/// The record of weights that were named lately, as a holder of the duty wrote
/// it.
struct WeightsRecorded {
    std::string model;
    std::vector<std::uint64_t> versions; ///< In rising order.
};

/// Whether calls may still be sent to weights that `version` replaced, by the
/// lease that was written with its record.
struct RolloutMarked {
    std::string model;
    std::uint64_t version = 0;
    bool open = false;
};

/// Whether a request is recorded as one that is sent to no runner.
struct RequestBlocked {
    std::string request; ///< Its digest.
    bool blocked = false;
};

/// Whether nothing new may be sent to the runners of a zone, as the operator
/// asks for.
struct ZoneEvacuated {
    std::string zone;
    bool evacuated = false;
};

/// A runner whose entry in the list is new or changed.
struct RunnerListed {
    ListedRunner runner;
};

/// A runner that is no longer listed.
struct RunnerGone {
    std::string id;
};

/// An entry instance that is present, or that left: then its address is empty.
struct InstanceListed {
    InstanceInfo instance;
};

/// Who holds the duty lease of a name; empty address for nobody.
struct DutyHolder {
    std::string duty;
    std::string address;
};

/// One change of what the platform tells the fleet.
using FleetChange =
    std::variant<ServiceMapChanged, WeightsNamed, WeightsRecorded,
                 RolloutMarked, RequestBlocked, ZoneEvacuated, RunnerListed,
                 RunnerGone, InstanceListed, DutyHolder>;

/// What the platform tells every instance: the operator's configuration, the
/// named weights, the runners, and the fleet itself. read() and wait() block,
/// and throw Error with PlatformUnavailable, PlatformThrottled or
/// PlatformOutcomeUnknown.
class FleetFeed
{
public:
    virtual ~FleetFeed() = default;

    /// Returns all there is now.
    virtual ChangePage read() = 0;
    /// Waits up to `longest` for changes after `place`. Where the platform
    /// has forgotten them, returns all there is.
    virtual ChangePage wait(std::uint64_t place, Micros longest) = 0;
    /// Returns what the entries of `page` mean, in their order. Those that mean
    /// nothing here, or can't be read, are left out; the latter are logged.
    virtual std::vector<FleetChange> decode(const ChangePage& page) const = 0;
};

} // namespace crosslink
