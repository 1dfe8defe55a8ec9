// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_price.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Added for a runner with as many calls as it has slots.
constexpr double full_slots_ms = 100;
/// Number of zones. Each instance sends mostly to the runners of its own zone,
/// so that only the instances of one zone choose alike. Three is the minimum
/// that the fleet runs in.
constexpr double zones = 3;
/// Added for weights that were replaced: callers prefer answers of the newest
/// weights, but an early answer of older ones to a late answer of new ones. A
/// higher price would crowd calls at the few runners that load first, where
/// each prompt is prefilled in full.
constexpr double old_weights_ms = 5;
/// Added for another zone: two milliseconds of latency, and traffic between
/// zones, which is expensive. The runners of the own zone should be well used
/// first.
constexpr double other_zone_ms = 60;
/// Factor for the time of a fetch from another zone. It takes twice as long,
/// and the store serves nobody else meanwhile; stores are the first resource to
/// run short (docs/MEASUREMENTS.md).
constexpr double far_fetch_factor = 3.5;

/// Part of the prefill time of the call's prompt that bounds the random
/// addition to prices, which keeps instances from all choosing the same runner.
constexpr double jitter_part = 0.6;
/// Runners whose prices differ by less than this count as equal.
constexpr double tie_ms = 1;

Micros
from_millis(double value)
{
    return from_seconds(value / 1000);
}

/// Load that all instances together put on a runner, as far as known.
struct KnownLoad {
    double calls = 0;
    double tokens = 0;
    double resident = 0;

    void add(const RunnerLoad& load, double times)
    {
        calls += times * load.calls;
        tokens += times * static_cast<double>(load.tokens);
        resident += times * static_cast<double>(load.resident);
    }
};

/// Returns how many of the prompt tokens that others reported have been
/// prefilled by now. Reports of the load are 0.2 to 0.5 s old, and a prompt of
/// 10,000 tokens is prefilled in 0.2 s. If they counted as not prefilled, idle
/// runners would seem busy, and all instances would choose the few that had
/// seemed idle. Of large prompts that must be prefilled in full, at 295
/// instances and 256 runners, 0.76 began in time without this and 0.95 with it
/// (simulated load, queue_limit_test).
double
prefilled_since_report(const RunnerLoad& others, Micros age, double rate)
{
    return std::min(static_cast<double>(others.tokens),
                    in_milliseconds(age) * rate);
}

KnownLoad
known_load(const RunnerEntry& entry, const RunnerQuery& query,
           const FleetLoad& fleet)
{
    const double alike =
        std::max(1.0, static_cast<double>(query.instances) / zones);
    KnownLoad known;
    const bool others_known =
        fleet.others_known &&
        (fleet.known_zone.empty() || fleet.known_zone == entry.listed.zone);
    if (!others_known) {
        known.add(entry.own, alike);
        return known;
    }
    known.add(entry.own, 1);
    known.add(entry.others, 1);
    known.tokens -= prefilled_since_report(entry.others, fleet.others_age,
                                           fleet.prefill_rate);
    // Instances that see the same runner as the best one have sent as much as
    // this one since the others reported their load.
    const double choosers = std::min<double>(alike, max_choosers);
    known.add(entry.unreported_load, choosers - 1);
    return known;
}

/// Returns how long a call waits for KV memory. The missing memory becomes free
/// as calls end, all of it within the time for which a call holds its memory.
/// No call waits for more memory than the others hold.
double
memory_wait_ms(const KnownLoad& load, const RunnerQuery& query,
               Micros holding_time)
{
    const auto memory = static_cast<double>(query.memory_tokens);
    if (memory == 0)
        return 0;
    const double missing =
        load.resident + static_cast<double>(query.resident) - memory;
    return std::clamp(missing, 0.0, load.resident) / memory *
           in_milliseconds(holding_time);
}

double
wait_ms(const KnownLoad& load, const RunnerQuery& query, const FleetLoad& fleet)
{
    return load.tokens / fleet.prefill_rate +
           memory_wait_ms(load, query, fleet.holding_time);
}

} // namespace

std::map<std::string, RunnerLoad>
aged_load(std::map<std::string, RunnerLoad> load, Micros age,
          const PrefillRateOf& rate_of)
{
    for (auto& [runner, item] : load)
        item.tokens -= static_cast<std::uint64_t>(
            prefilled_since_report(item, age, rate_of(runner)));
    return load;
}

Micros
reading_time(std::uint64_t tokens, double rate)
{
    return from_millis(static_cast<double>(tokens) / rate);
}

Micros
expected_wait(const RunnerEntry& entry, const RunnerQuery& query,
              const FleetLoad& fleet)
{
    const KnownLoad load = known_load(entry, query, fleet);
    return from_millis(wait_ms(load, query, fleet));
}

Micros
reported_wait(const RunnerEntry& entry, const RunnerQuery& query,
              const FleetLoad& fleet)
{
    KnownLoad load;
    load.add(entry.own, 1);
    load.add(entry.others, 1);
    return from_millis(wait_ms(load, query, fleet));
}

double
price_ms(const RunnerEntry& entry, const RunnerQuery& query,
         const FleetLoad& fleet)
{
    const KnownLoad load = known_load(entry, query, fleet);
    double price =
        wait_ms(load, query, fleet) +
        full_slots_ms * load.calls / std::max<double>(entry.listed.slots, 1);
    if (!query.model.empty() &&
        entry.version_of(query.model) < query.newest_version)
        price += old_weights_ms;
    if (entry.listed.zone != query.zone)
        price += other_zone_ms;
    return price + far_fetch_ms(entry.listed.zone, query);
}

double
far_fetch_ms(std::string_view zone, const RunnerQuery& query)
{
    if (query.kept.zone.empty() || zone == query.kept.zone)
        return 0;
    return far_fetch_factor * in_milliseconds(query.kept.fetch_time);
}

double
jitter_ms(const RunnerQuery& query, const FleetLoad& fleet)
{
    return jitter_part *
               in_milliseconds(reading_time(query.tokens, fleet.prefill_rate)) +
           tie_ms;
}

} // namespace crosslink
