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
FetchWatch::sent(std::string_view store, TimePoint now)
{
    m_stores[std::string(store)].open.insert(now);
}

void
FetchWatch::ended(std::string_view store, TimePoint sent)
{
    const auto found = m_stores.find(store);
    if (found == m_stores.end())
        return;
    std::multiset<TimePoint>& open = found->second.open;
    if (const auto call = open.find(sent); call != open.end())
        open.erase(call);
}

void
FetchWatch::first_event(std::string_view store, TimePoint sent, TimePoint now)
{
    ended(store, sent);
    Seen& seen = m_stores[std::string(store)];
    const double took = seconds(now - sent) * 1000;
    const bool fresh = seen.took_ms > 0 && now - seen.at <= sample_holds;
    seen.took_ms =
        fresh ? seen.took_ms + sample_weight * (took - seen.took_ms) : took;
    seen.at = now;
}

bool
FetchWatch::is_known(const Seen& seen, TimePoint now)
{
    return seen.took_ms > 0 && now - seen.at <= sample_holds;
}

/// Returns how long calls take now: the oldest that still waits tells of a
/// slow store before any sample does.
double
FetchWatch::took_ms(const Seen& seen, TimePoint now)
{
    const double waits =
        seen.open.empty() ? 0 : seconds(now - *seen.open.begin()) * 1000;
    return std::max(waits, is_known(seen, now) ? seen.took_ms : 0);
}

bool
FetchWatch::should_fetch(std::string_view store, std::uint64_t random,
                         TimePoint now) const
{
    const auto own = m_stores.find(store);
    if (own == m_stores.end())
        return true;
    const double own_ms = took_ms(own->second, now);
    std::optional<double> fastest;
    for (const auto& [name, seen] : m_stores)
        if (name != store && is_known(seen, now))
            fastest = std::min(fastest.value_or(seen.took_ms), seen.took_ms);
    if (!fastest || own_ms <= in_time_ms || own_ms <= *fastest + slow_ms)
        return true;
    const double part = std::max(least_part, slow_ms / (own_ms - *fastest));
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(random % steps) < part * steps;
}

} // namespace crosslink
