// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_settings.h"

#include <serve/settings.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <string_view>

namespace crosslink
{

namespace
{

/// Adds an option whose environment variable is named after the flag.
template<typename Value>
CLI::Option*
add(CLI::App& verb, const std::string& flag, Value& value,
    const std::string& description)
{
    return verb.add_option(flag, value, description)
        ->envname(variable_of(flag));
}

void
add_addresses(CLI::App& verb, ForwardSettings& settings)
{
    add(verb, "--name", settings.name, "Name of this instance")->required();
    add(verb, "--zone", settings.zone, "Availability zone")->required();
    add(verb, "--bind", settings.bind, "ip:port for callers")->required();
    add(verb, "--ready-bind", settings.ready_bind,
        "ip:port for readiness checks")
        ->required();
    add(verb, "--peer-ip", settings.peer_ip, "Address for other instances")
        ->required();
    add(verb, "--peer-port", settings.peer_port, "Port for other instances")
        ->required()
        ->check(CLI::Range(1, 65'535));
    add(verb, "--platform", settings.platform, "ip:port of the store")
        ->required();
    add(verb, "--seeds", settings.seeds, "Hosts of instances to contact first")
        ->delimiter(',');
    add(verb, "--zone-regions", settings.zone_regions,
        "Region of each zone, as zone:region")
        ->delimiter(',');
    add(verb, "--metrics-bind", settings.metrics_bind,
        "ip:port of the metrics");
}

void
add_limits(CLI::App& verb, ForwardSettings& settings)
{
    add(verb, "--memory-mb", settings.memory_mb, "Memory limit, MB")
        ->default_val(256)
        ->check(CLI::Range(32, 1 << 20));
    add(verb, "--descriptors", settings.descriptors, "Descriptor limit")
        ->default_val(4096)
        ->check(CLI::Range(256, 1 << 20));
    add(verb, "--link-mbps", settings.link_mbps, "Network link, Mbit/s")
        ->default_val(1000)
        ->check(CLI::Range(0.1, 1e6));
    add(verb, "--stop-ms", settings.stop_ms, "Time for a planned stop, ms")
        ->default_val(8000)
        ->check(CLI::Range(500, 600'000));
    add(verb, "--lease-ms", settings.lease_ms, "Length of a duty's lease, ms")
        ->default_val(2000)
        ->check(CLI::Range(1000, 600'000));
    add(verb, "--order-spacing-ms", settings.order_spacing_ms,
        "Least time between orders of two holders of a duty, ms")
        ->default_val(3000)
        ->check(CLI::Range(1000, 600'000));
    add(verb, "--weights-ms", settings.weights_ms,
        "Time in which named weights reach all runners, ms")
        ->default_val(10'000)
        ->check(CLI::Range(1000, 3'600'000));
    add(verb, "--runner-heartbeat-ms", settings.runner_heartbeat_ms,
        "Pause between two heartbeats of a runner at the store, ms; 0: 1200")
        ->default_val(0)
        ->check(CLI::Range(0, 600'000));
    add(verb, "--platform-writes", settings.platform_writes,
        "Writing calls per second that the store takes; 0: no limit")
        ->default_val(400)
        ->check(CLI::Range(0.0, 1e6));
    add(verb, "--platform-reads", settings.platform_reads,
        "Reading calls per second that the store takes; 0: no limit")
        ->default_val(2000)
        ->check(CLI::Range(0.0, 1e6));
    add(verb, "--home-instances", settings.home_instances,
        "Instances that prefer each engine, at least; 0 for no preference")
        ->default_val(3)
        ->check(CLI::Range(0, 1000));
    add(verb, "--retry-ratio", settings.retry_ratio, "Retries per call")
        ->default_val(0.2)
        ->check(CLI::Range(0.0, 1.0));
    add(verb, "--retry-allowance", settings.retry_allowance,
        "Retries beyond the ratio, per window for the fleet")
        ->default_val(50)
        ->check(CLI::Range(0.0, 1e6));
    add(verb, "--retry-window-ms", settings.retry_window_ms,
        "Window of the retry budget, ms")
        ->default_val(10'000)
        ->check(CLI::Range(1000, 600'000));
    add(verb, "--hedge-ratio", settings.hedge_ratio,
        "Second copies of late calls per call, within the retry budget")
        ->default_val(0)
        ->check(CLI::Range(0.0, 0.2));
    add(verb, "--warm-up-ratio", settings.warm_up_ratio,
        "Calls to a warming-up runner per call it can process; 0: no limit")
        ->default_val(0)
        ->check(CLI::Range(0.0, 100.0));
    add(verb, "--warm-up-allowance", settings.warm_up_allowance,
        "Calls per second to a warming-up runner beyond the ratio")
        ->default_val(0)
        ->check(CLI::Range(0.0, 1e6));
    add(verb, "--log-level", settings.log_level, "Level of the log")
        ->default_val("info")
        ->check(CLI::IsMember({"debug", "info", "warn", "err"}));
}

} // namespace

std::optional<ZoneSet>
ForwardSettings::home_zones(const std::vector<std::string>& of_route,
                            const std::vector<std::string>& of_account) const
{
    if (of_route.empty() && of_account.empty())
        return std::nullopt;
    const auto names = [](const std::vector<std::string>& allowed_regions,
                          std::string_view region) {
        return allowed_regions.empty() ||
               std::find(allowed_regions.begin(), allowed_regions.end(),
                         region) != allowed_regions.end();
    };
    ZoneSet zones;
    for (const std::string& item : zone_regions) {
        const std::size_t colon = item.rfind(':');
        if (colon == std::string::npos)
            continue;
        const auto region = std::string_view(item).substr(colon + 1);
        if (names(of_route, region) && names(of_account, region))
            zones.insert(item.substr(0, colon));
    }
    return zones;
}

void
add_forward_options(CLI::App& verb, ForwardSettings& settings)
{
    add_addresses(verb, settings);
    add_limits(verb, settings);
}

} // namespace crosslink
