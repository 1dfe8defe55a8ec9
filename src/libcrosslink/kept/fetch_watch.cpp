// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_watch.h>

#include <algorithm>
#include <optional>

namespace crosslink
{

namespace
{

/// Weight of a new sample. An instance sees a few from each store a second.
constexpr double sample_weight = 0.25;
/// A store that is slower than the fastest by less than this is not slow: a
/// part of 5,000 tokens is read in about 100 ms, and reading it anew has a
/// price of its own.
constexpr double slow_ms = 120;
/// First events within this time are in time for most calls, however much
/// faster another store is.
constexpr double in_time_ms = 350;
/// Least part of the calls that fetch from a slow store, to see when it is
/// fast again.
constexpr double least_part = 0.1;
/// A sample older than this says nothing.
constexpr Micros sample_holds = std::chrono::seconds(3);

} // namespace

void
FetchWatch::first_event(std::string_view store, Micros took, TimePoint now)
{
    const double took_ms = seconds(took) * 1000;
    const auto found = m_stores.find(store);
    if (found == m_stores.end() || now - found->second.at > sample_holds) {
        m_stores[std::string(store)] = {took_ms, now};
        return;
    }
    Seen& seen = found->second;
    seen.took_ms += sample_weight * (took_ms - seen.took_ms);
    seen.at = now;
}

bool
FetchWatch::should_fetch(std::string_view store, std::uint64_t random,
                         TimePoint now) const
{
    const auto own = m_stores.find(store);
    if (own == m_stores.end() || now - own->second.at > sample_holds)
        return true;
    std::optional<double> fastest;
    for (const auto& [name, seen] : m_stores)
        if (name != store && now - seen.at <= sample_holds)
            fastest = std::min(fastest.value_or(seen.took_ms), seen.took_ms);
    if (!fastest || own->second.took_ms <= in_time_ms ||
        own->second.took_ms <= *fastest + slow_ms)
        return true;
    const double part =
        std::max(least_part, slow_ms / (own->second.took_ms - *fastest));
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(random % steps) < part * steps;
}

} // namespace crosslink
