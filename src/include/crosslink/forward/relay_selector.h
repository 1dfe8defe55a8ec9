// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_place.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace crosslink
{

/// Zones whose instances could not help with one call.
using FailedZones = std::set<std::string, std::less<>>;

/// Chooses the instance that passes a call on to a runner which this instance
/// does not reach. Answers the load of instances without a path to runners: it
/// is spread evenly over the others of the zone, as long as half of them can
/// help, and over all zones otherwise. Instances of a zone may all be without a
/// path, so that a call goes to another zone after one failure.
class RelaySelector
{
public:
    using Instances = std::map<std::string, InstanceInfo, std::less<>>;

    /// An instance that could not help is not asked again for this time, which
    /// doubles with each further failure.
    static constexpr Micros min_pause = std::chrono::milliseconds(500);
    static constexpr Micros max_pause = std::chrono::seconds(4);

    /// Returns one of `instances` other than `own` for a call to the runner at
    /// `place`, not of `failed_zones` if there are others; nothing if no
    /// instance is left.
    std::optional<InstanceInfo>
    choose(const Instances& instances, const InstanceInfo& own,
           const RunnerPlace& place, const FailedZones& failed_zones,
           TimePoint now, std::uint64_t random) const;
    /// Records that the instance at `address` could not help with calls to the
    /// runner at `place`, or, where `place` names none, to its whole service,
    /// or to any service.
    void failed(std::string_view address, const RunnerPlace& place,
                TimePoint now);
    /// Records that it passed a call on.
    void helped(std::string_view address);

private:
    /// What an instance could not help with.
    struct Key {
        std::string address;
        std::string service; ///< Empty for all, or where there is a runner.
        std::string runner;  ///< Empty for all of the service.

        bool concerns(const RunnerPlace& place) const
        {
            return runner.empty() ? service.empty() || service == place.service
                                  : runner == place.runner;
        }
        bool operator<(const Key& other) const
        {
            return std::tie(address, service, runner) <
                   std::tie(other.address, other.service, other.runner);
        }
    };

    struct Pause {
        Micros length{0};
        TimePoint until{};
    };

    /// The instances of one zone that may help, and how many may not now.
    struct Zone {
        std::vector<const InstanceInfo*> open;
        std::size_t paused = 0;
    };
    using Zones = std::map<std::string_view, Zone>;

    Zones zones_of(const Instances& instances, const InstanceInfo& own,
                   const RunnerPlace& place, TimePoint now) const;
    std::set<std::string_view> paused_for(const RunnerPlace& place,
                                          TimePoint now) const;

    std::map<Key, Pause> m_pauses;
};

} // namespace crosslink
