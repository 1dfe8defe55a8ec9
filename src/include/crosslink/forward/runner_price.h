// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_query.h>

#include <cstdint>
#include <map>
#include <string>

namespace crosslink
{

// The price of a runner is the time, in milliseconds, by which a call is
// expected to be answered later there than at an idle runner that is best for
// it in all else.

/// The runner that calls with the same shared parts prefer: it may still
/// have them in memory, which saves a fetch.
inline constexpr double affinity_ms = 20;
/// A zone one of whose runners says nothing: a call that is sent there waits
/// 400 ms for a connection, or seconds for an answer.
inline constexpr double silent_zone_ms = 400;
/// A runner that took no connection, or broke one off, a moment ago: what is
/// sent there may be broken off too, and can't always be sent again.
inline constexpr double lost_contact_ms = 400;

/// So many instances may see the same runner as the best one at a time.
inline constexpr std::size_t most_choosers = 4;

/// What is known of the load of all runners of a service.
struct FleetLoad {
    /// The load of other instances is known; else it is estimated.
    bool others_known = false;
    /// Time since others gave the load that they told.
    Micros others_age{0};
    /// How long a call takes its memory.
    Micros holding_time{0};
};

/// Returns `load` without the prompts that are read by now, where it was told
/// `age` ago.
std::map<std::string, RunnerLoad>
aged_load(std::map<std::string, RunnerLoad> load, Micros age);

/// Returns the time in which a runner reads a prompt of `tokens`.
Micros reading_time(std::uint64_t tokens);

/// Returns how long a runner is expected to need before it takes up a call,
/// from its load as far as that is known: until the prompts before it are read,
/// and until calls end whose KV memory it needs.
Micros expected_wait(const RunnerEntry& entry, const RunnerQuery& query,
                     const FleetLoad& fleet);

/// Returns the price of a runner by its load, its weights and its zone. The
/// table applies affinity_ms, silent_zone_ms and lost_contact_ms, which depend
/// on more.
double price_ms(const RunnerEntry& entry, const RunnerQuery& query,
                const FleetLoad& fleet);

/// Returns by how much prices are spread at random, so that instances do not
/// all choose the same runner.
double spread_ms(const RunnerQuery& query);

} // namespace crosslink
