// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/hedge_policy.h>
#include <crosslink/forward/retry_window.h>
#include <crosslink/membership/instance_info.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace crosslink
{

/// Calls are sent to replaced weights only until this long before these are
/// forbidden, since a call may wait in its runner's queue before it begins.
constexpr Micros begin_margin = std::chrono::milliseconds(2000);
/// Pause between two heartbeats of a runner where the settings don't tell it.
constexpr Micros usual_heartbeat = std::chrono::milliseconds(1200);

/// Names of availability zones.
using ZoneSet = std::set<std::string, std::less<>>;

/// The settings of an instance that forwards calls. Each field has a command
/// line flag and an environment variable; see docs/OPERATIONS.md.
struct ForwardSettings {
    std::string name;       ///< Of this instance; unique in the fleet.
    std::string zone;       ///< Availability zone.
    std::string bind;       ///< "ip:port" for callers.
    std::string ready_bind; ///< "ip:port" for readiness checks.
    std::string peer_ip;    ///< Address for the other instances.
    std::uint32_t peer_port = 0;
    std::string platform; ///< "ip:port" of the platform's store.
    /// Calls per second that all instances may make; 0 for no limit.
    double platform_writes = 0;
    double platform_reads = 0;      ///< As platform_writes.
    std::vector<std::string> seeds; ///< Hosts of instances to contact first.
    std::string metrics_bind;       ///< "ip:port"; empty for none.
    std::uint64_t memory_mb = 0;    ///< Memory limit of the process, MB.
    std::uint64_t descriptors = 0;  ///< Descriptor limit of the process.
    double link_mbps = 0;           ///< Capacity of the network link, Mbit/s.
    std::uint64_t stop_ms = 0;      ///< From the signal to the end of a stop.
    std::uint64_t lease_ms = 0;     ///< Length of a duty's lease.
    /// Least time between the actions of two holders of a duty.
    std::uint64_t order_spacing_ms = 0;
    /// Time after which all runners must have loaded weights that were named.
    std::uint64_t weights_ms = 0;
    /// Pause between two heartbeats of a runner at the platform; 0 if it is not
    /// told.
    std::uint64_t runner_heartbeat_ms = 0;
    double retry_ratio = 0;
    double retry_allowance = 0;
    std::uint64_t retry_window_ms = 0;
    double hedge_ratio = 0;       ///< See RetryRules.
    double warm_up_ratio = 0;     ///< See warm_up_limit().
    double warm_up_allowance = 0; ///< See warm_up_limit().
    /// See RunnerQuery::home_instances.
    std::size_t home_instances = 0;
    /// The region of each zone, as "zone:region".
    std::vector<std::string> zone_regions;
    std::string log_level;

    Micros stop_grace() const { return std::chrono::milliseconds(stop_ms); }
    Micros lease() const { return std::chrono::milliseconds(lease_ms); }
    Micros order_spacing() const
    {
        return std::chrono::milliseconds(order_spacing_ms);
    }
    Micros runner_heartbeat() const
    {
        if (runner_heartbeat_ms == 0)
            return usual_heartbeat;
        return std::chrono::milliseconds(runner_heartbeat_ms);
    }
    Micros weights_bound() const
    {
        return std::chrono::milliseconds(weights_ms);
    }
    /// Returns the time after which no call is sent to replaced weights.
    Micros sending_bound() const
    {
        return std::max(weights_bound() - begin_margin, Micros{0});
    }
    RetryRules retry_rules() const
    {
        return {retry_ratio, retry_allowance,
                std::chrono::milliseconds(retry_window_ms), hedge_ratio};
    }
    HedgeRules hedge_rules() const
    {
        return hedge_ratio > 0 ? HedgeRules{} : HedgeRules{{}};
    }
    /// Returns how many calls per second all instances together may send to a
    /// runner that can process `per_second` while it warms up; 0 for no limit.
    double warm_up_limit(double per_second) const
    {
        if (warm_up_ratio == 0 || per_second == 0)
            return 0;
        return per_second * warm_up_ratio + warm_up_allowance;
    }
    /// Returns the zones of the regions that are in both lists; an empty list
    /// stands for all regions. Nothing if both are empty.
    std::optional<ZoneSet>
    home_zones(const std::vector<std::string>& of_route,
               const std::vector<std::string>& of_account) const;
    InstanceInfo instance_info() const
    {
        return {name, peer_address(), zone, link_mbps};
    }
    std::string peer_address() const
    {
        return peer_ip + ":" + std::to_string(peer_port);
    }
};

/// Adds an option for each field to `verb`, with its environment variable and
/// check. A value out of range ends the program with a message that names it.
void add_forward_options(CLI::App& verb, ForwardSettings& settings);

} // namespace crosslink
