// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/account_usage.h>
#include <crosslink/forward/advertised_limit.h>
#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/speed_report.h>
#include <crosslink/kept/fetch_delay_tracker.h>
#include <crosslink/kept/kept_replica.h>
#include <crosslink/membership/change_page.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crosslink
{

/// A weight version that an instance knows, and the time since it learned of
/// it.
struct WeightsAge {
    std::string model;
    std::uint64_t version = 0;
    Micros age{0};
};

/// A runner that did not accept a connection, or broke one, and the time since
/// then.
struct ConnectionFailure {
    std::string runner;
    Micros age{0};
};

/// The report that an instance sends to its parent in the fleet's tree a few
/// times a second. The parent is the coordinator, which holds the fleet's duty
/// lease, or an instance that asks the coordinator for others too.
struct ExchangeRequest {
    std::string instance;
    std::string zone; ///< Of the instance; empty if it is not told.
    /// Load on each runner from this instance and from those that ask it.
    std::map<std::string, RunnerLoad> load;
    /// What accounts got of services, here and at those that ask it.
    AccountUsages usage;
    SpeedReport speed; ///< Of runners, seen here and by those that ask it.
    std::uint64_t kept_term = 0; ///< Position of its copy of the directory.
    std::uint64_t kept_place = 0;
    std::vector<WeightsAge> weights;
    std::vector<ConnectionFailure> lost; ///< Runners that may have restarted.
    CrashUpdate crashes;                 ///< Learned recently.
    std::vector<LimitUpdate> limits;     ///< Limits that runners stated.
    std::vector<LeavingUpdate> leaving;  ///< Runners that announced leaving.
    std::vector<FetchSamples> fetches;   ///< Seen since the last request.
    /// Position up to which it knows the platform's store; nothing before it
    /// knows all of it.
    std::optional<StorePosition> known_position;
};

/// Weights that a runner itself reports to have.
struct RunnerWeights {
    std::string runner;
    std::uint64_t start_ms = 0; ///< Start of its process.
    std::string model;
    std::uint64_t version = 0;
};

/// The former holders of the duty lease that an instance knows.
struct FormerHolders {
    /// A holder whose duty ended, and the time since this was learned.
    struct Ended {
        std::string address;
        Micros ago{0};
    };

    StorePosition position; ///< Of the platform's store.
    Micros observed_for{0}; ///< How long no change of holder was missed.
    std::vector<Ended> ended;
};

/// The state of the fleet that an instance gets in return.
struct ExchangeResponse {
    /// Load of all other instances.
    std::map<std::string, RunnerLoad> others;
    AccountUsages usage; ///< What accounts got at all other instances.
    SpeedReport speed;   ///< Of runners, seen by all other instances.
    /// `others` has only the runners of the zone of the request, since more
    /// are busy than an exchange holds.
    bool own_zone_only = false;
    std::vector<std::string> loading; ///< Runners ordered to load weights.
    /// Weights that runners report to have just loaded. The platform's list
    /// shows them a second later.
    std::vector<RunnerWeights> loaded;
    std::vector<ConnectionFailure> lost; ///< Runners that may have restarted.
    CrashUpdate crashes;                 ///< Learned recently.
    std::vector<LimitUpdate> limits;     ///< Limits that runners stated.
    std::vector<LeavingUpdate> leaving;  ///< Runners that announced leaving.
    std::vector<FetchDelay> fetches;     ///< Delays by store and zone.
    KeptUpdate kept;
    std::vector<WeightsAge> weights; ///< As first learned by any instance.
    bool platform_reached = false;   ///< The sender gets platform responses.
    Micros load_age{0}; ///< Age of `others` beyond the pause between exchanges.
    Micros age{0};      ///< Time since the coordinator sent its data.
    FormerHolders holders;
    ChangePage changes;    ///< After the position in the request.
    Micros changes_age{0}; ///< Since the platform confirmed `changes`.
    /// How much longer entries that are gone may have expired in an outage of
    /// the platform.
    Micros lapse_window{0};
};

} // namespace crosslink
