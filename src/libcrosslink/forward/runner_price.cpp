// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_price.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Prompt tokens that a runner reads in a millisecond; engines of today read
/// 40 to 60.
constexpr double tokens_per_ms = 50;
/// What a runner that works on as many calls as it has slots adds.
constexpr double full_slots_ms = 100;
/// Where the others' load is not known: each instance sends mostly to the
/// runners of its zone, so the load there is about that of the instances of
/// one zone; zones are taken as three, the least that the fleet runs in.
constexpr double zones = 3;
/// Weights that were replaced: a call that begins on them loses a fifth of
/// its worth, a late one most of it (docs/MEASUREMENTS.md).
constexpr double old_weights_ms = 50;
/// Another zone: two milliseconds on the way, and bytes between zones, which
/// are dear. The runners of the own zone should be well filled first.
constexpr double other_zone_ms = 60;
/// A fetch from another zone takes twice as long, and so long the store serves
/// nobody else: stores are what runs short first (docs/MEASUREMENTS.md).
constexpr double far_fetch_price = 3.5;

/// Part of the time for reading the call's prompt by which prices are spread at
/// random, so that instances do not all choose the same runner.
constexpr double crowd_part = 0.6;
/// Runners whose prices differ by less are alike.
constexpr double tie_ms = 1;

constexpr double millis_per_second = 1000;

Micros
from_millis(double millis)
{
    return from_seconds(millis / millis_per_second);
}

double
to_millis(Micros span)
{
    return seconds(span) * millis_per_second;
}

double
load_ms(const RunnerLoad& load, const RunnerEntry& entry)
{
    const double slots = std::max<double>(entry.listed.slots, 1);
    return static_cast<double>(load.tokens) / tokens_per_ms +
           full_slots_ms * load.calls / slots;
}

/// Returns the load of `entry` as far as it is known.
double
known_load_ms(const RunnerEntry& entry, const RunnerQuery& query,
              bool others_known)
{
    const double own = load_ms(entry.own, entry);
    const double alike =
        std::max(1.0, static_cast<double>(query.instances) / zones);
    if (!others_known)
        return own * alike;
    // What this instance sent since the others told their load, they have
    // sent too: they choose by the same picture.
    return own + load_ms(entry.others, entry) +
           load_ms(entry.untold, entry) * (alike - 1);
}

} // namespace

Micros
reading_time(std::uint64_t tokens)
{
    return from_millis(static_cast<double>(tokens) / tokens_per_ms);
}

Micros
expected_wait(const RunnerEntry& entry, const RunnerQuery& query,
              bool others_known)
{
    return from_millis(known_load_ms(entry, query, others_known));
}

double
price_ms(const RunnerEntry& entry, const RunnerQuery& query, bool others_known)
{
    double price = known_load_ms(entry, query, others_known);
    if (!query.model.empty() &&
        entry.version_of(query.model) < query.newest_version)
        price += old_weights_ms;
    if (entry.listed.zone != query.zone)
        price += other_zone_ms;
    if (!query.kept.zone.empty() && entry.listed.zone != query.kept.zone)
        price += far_fetch_price * to_millis(query.kept.fetch_time);
    return price;
}

double
spread_ms(const RunnerQuery& query)
{
    return crowd_part * to_millis(reading_time(query.tokens)) + tie_ms;
}

} // namespace crosslink
