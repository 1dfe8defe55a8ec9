// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/advertised_limit.h>
#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/runner_table.h>
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

/// Weights that an instance heard of, and how long ago.
struct WeightsAge {
    std::string model;
    std::uint64_t version = 0;
    Micros age{0};
};

/// A runner that took no connection, or broke one off, and how long ago.
struct ConnectionFailure {
    std::string runner;
    Micros age{0};
};

/// What an instance tells its parent in the fleet's tree a few times a second:
/// the holder of the duty, or an instance that asks the holder for others too.
struct ExchangeRequest {
    std::string instance;
    /// That it gives to runners, with that of the instances which ask it.
    std::map<std::string, RunnerLoad> load;
    std::uint64_t kept_term = 0; ///< Position of its copy of the directory.
    std::uint64_t kept_place = 0;
    std::vector<WeightsAge> weights;
    std::vector<ConnectionFailure> lost; ///< Runners that may start anew.
    CrashUpdate crashes;                 ///< Learned lately.
    std::vector<LimitUpdate> limits;     ///< That runners named.
    std::vector<LeavingUpdate> leaving;  ///< Runners, by their own word.
    std::vector<FetchSamples> fetches;   ///< Seen since the last question.
    /// Up to where it knows the platform's store; nothing before all of it.
    std::optional<std::uint64_t> news_place;
};

/// Weights that a runner has by its own word.
struct RunnerWeights {
    std::string runner;
    std::uint64_t start_ms = 0; ///< Its incarnation.
    std::string model;
    std::uint64_t version = 0;
};

/// The earlier holders of the duty that an instance heard of.
struct HoldersSeen {
    /// A holder whose duty ended, and how long ago that was heard of.
    struct Ended {
        std::string address;
        Micros ago{0};
    };

    std::uint64_t place = 0; ///< Of the platform's store, heard of up to it.
    Micros watched{0};       ///< For so long nothing was missed.
    std::vector<Ended> ended;
};

/// What it learns in return.
struct ExchangeResponse {
    std::map<std::string, RunnerLoad> others; ///< Of all other instances.
    std::vector<std::string> loading; ///< Runners that were told to load.
    /// Weights that runners have loaded a moment ago, by their own word. The
    /// platform's list tells them a second later.
    std::vector<RunnerWeights> loaded;
    std::vector<ConnectionFailure> lost; ///< Runners that may start anew.
    CrashUpdate crashes;                 ///< Learned lately.
    std::vector<LimitUpdate> limits;     ///< That runners named.
    std::vector<LeavingUpdate> leaving;  ///< Runners, by their own word.
    std::vector<FetchDelay> fetches;     ///< How late they are.
    KeptUpdate kept;
    std::vector<WeightsAge> weights; ///< As the first instance heard of them.
    bool platform_reached = false; ///< The holder gets the platform's answers.
    Micros load_age{0}; ///< Of `others`, beyond the pause between exchanges.
    Micros age{0};      ///< Since the holder of the duty told what stands here.
    HoldersSeen holders;
    ChangePage news;    ///< Of the platform's store, after the place asked for.
    Micros news_age{0}; ///< Since the platform last told that `news` is all.
};

} // namespace crosslink
