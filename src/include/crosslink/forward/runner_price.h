// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/prefill_rate.h>
#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_query.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

// The price of a runner is the expected delay, in milliseconds, with which it
// answers a call compared to an idle runner that is best for the call in all
// other respects.

/// Deducted for the runner that calls with the same shared parts prefer: it may
/// still have the parts in memory, which saves a fetch.
inline constexpr double affinity_ms = 20;
/// Added for a runner that is home to other instances. Its load is known by
/// reports only, which are as old as a prompt takes to prefill.
inline constexpr double not_home_ms = 200;
/// Greatest addition for a runner that answers later than others. It is below
/// the price of another zone, so that calls move within the zone: while a zone
/// is cut off, its own runners answer late, and those that it can't reach do
/// not answer at all.
inline constexpr double max_slowness_ms = 50;
/// Added for a process that has stalled while others of its service answer. In
/// a zone that is cut off, its own runners answer late, but answer, and those
/// of other zones count as stalled.
inline constexpr double stalled_ms = 400;
/// Added for runners of a zone in which one does not respond: a call that is
/// sent there waits 400 ms for a connection, or seconds for an answer.
inline constexpr double silent_zone_ms = 400;
/// Added for a runner that refused or broke a connection a moment ago: calls
/// sent there may be broken off too, and can't always be sent again.
inline constexpr double connection_failed_ms = 400;

/// Number of instances that may see the same runner as the best one at a time.
inline constexpr std::size_t max_choosers = 4;

/// What is known of the load on all runners of a service.
struct FleetLoad {
    /// Whether the load of other instances is known; if not, it is estimated.
    bool others_known = false;
    /// Zone to whose runners the above applies; empty for all.
    std::string_view known_zone;
    /// Age of the load that other instances reported.
    Micros others_age{0};
    /// How long a call holds its KV memory.
    Micros holding_time{0};
    /// Prompt tokens that the service's engines prefill in a millisecond.
    double prefill_rate = usual_prefill_rate;
};

/// Returns the prompt tokens that the runner `id` prefills in a millisecond.
using PrefillRateOf = std::function<double(std::string_view id)>;

/// Returns `load`, reported `age` ago, without the prompt tokens that have been
/// prefilled since.
std::map<std::string, RunnerLoad>
aged_load(std::map<std::string, RunnerLoad> load, Micros age,
          const PrefillRateOf& rate_of);

/// Returns the time that a runner takes to prefill a prompt of `tokens` at
/// `rate` tokens per millisecond.
Micros reading_time(std::uint64_t tokens, double rate = usual_prefill_rate);

/// Returns the expected time until a runner starts on a call, as far as its
/// load is known: until the prompts before it are prefilled, and until enough
/// calls end to free the KV memory that it needs.
Micros expected_wait(const RunnerEntry& entry, const RunnerQuery& query,
                     const FleetLoad& fleet);

/// Returns the expected wait by the load as it was reported, without what has
/// been prefilled and sent since. The mean over a zone compares to that of
/// another zone, while expected_wait() is short where this instance sends
/// little.
Micros reported_wait(const RunnerEntry& entry, const RunnerQuery& query,
                     const FleetLoad& fleet);

/// Returns the price of a runner from its load, its weights and its zone.
/// RunnerTable applies affinity_ms, silent_zone_ms and connection_failed_ms,
/// which depend on further state.
double price_ms(const RunnerEntry& entry, const RunnerQuery& query,
                const FleetLoad& fleet);

/// Returns the price of fetching the prompt's stored parts to a runner of
/// `zone`, beyond that of fetching them within their own zone.
double far_fetch_ms(std::string_view zone, const RunnerQuery& query);

/// Returns the maximum random addition to a price, which keeps instances from
/// all choosing the same runner.
double jitter_ms(const RunnerQuery& query, const FleetLoad& fleet);

} // namespace crosslink
