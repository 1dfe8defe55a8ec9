// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_watch.h>

#include <algorithm>
#include <optional>

namespace crosslink
{

namespace
{

/// Part of a new sample in the smoothed one.
constexpr double sample_weight = 0.25;
/// A fetch may be late by this part of the call's objective, for a part of
/// whatever size: the answer still comes in time, and a prompt that is read
/// instead delays all others at its runner. With 80 ms for all calls,
/// objectives of 1.2 s were served by reading 4 M tokens a day that lay kept;
/// with a third of the objective a quarter less (docs/DECISIONS.md, "slow
/// stores").
constexpr double bearable_part = 1.0 / 3;
/// Beyond it, a fetch may be this much later for each token of its part: about
/// twice the time in which a runner reads the token.
constexpr double worth_ms_per_token = 0.04;
/// A store from which events come this much later than from the best one takes
/// no saves: they would hold up its fetches still more.
constexpr double slow_ms = 250;
/// Part of the calls that go on fetching from a slow store, to see its end.
constexpr double least_part = 0.1;
/// What was seen longer ago says nothing of now, and counts for less until
/// then: few calls tell of one store to one instance.
constexpr Micros sample_holds = std::chrono::seconds(3);

double
millis(Micros span)
{
    return seconds(span) * 1000;
}

} // namespace

void
FetchWatch::sent(std::string_view store, TimePoint expected)
{
    m_stores[std::string(store)].open.insert(expected);
}

void
FetchWatch::ended(std::string_view store, TimePoint expected)
{
    const auto found = m_stores.find(store);
    if (found == m_stores.end())
        return;
    std::multiset<TimePoint>& open = found->second.open;
    if (const auto call = open.find(expected); call != open.end())
        open.erase(call);
}

void
FetchWatch::first_event(std::string_view store, TimePoint expected,
                        TimePoint now)
{
    ended(store, expected);
    Seen& seen = m_stores[std::string(store)];
    const double late = millis(now - expected);
    if (is_known(seen, now))
        seen.late_ms += sample_weight * (late - seen.late_ms);
    else
        seen.late_ms = late;
    seen.known = true;
    seen.at = now;
}

bool
FetchWatch::is_known(const Seen& seen, TimePoint now)
{
    return seen.known && now - seen.at <= sample_holds;
}

/// Returns how late the events of `seen` are: those that came, or, where none
/// came since it was due, the one that is waited for longest.
double
FetchWatch::late_ms(const Seen& seen, TimePoint now)
{
    double late = 0;
    if (is_known(seen, now))
        late =
            seen.late_ms * (1 - seconds(now - seen.at) / seconds(sample_holds));
    if (!seen.open.empty() && *seen.open.begin() > seen.at)
        late = std::max(late, millis(now - *seen.open.begin()));
    return late;
}

double
FetchWatch::later_ms(std::string_view store, TimePoint now) const
{
    const auto own = m_stores.find(store);
    if (own == m_stores.end())
        return 0;
    std::optional<double> least_late;
    for (const auto& [name, seen] : m_stores)
        if (name != store && is_known(seen, now)) {
            const double late = late_ms(seen, now);
            least_late = std::min(least_late.value_or(late), late);
        }
    if (!least_late)
        return 0;
    return late_ms(own->second, now) - std::max(*least_late, 0.0);
}

bool
FetchWatch::should_fetch(std::string_view store, std::uint32_t tokens,
                         Micros objective, std::uint64_t random,
                         TimePoint now) const
{
    const double later = later_ms(store, now);
    const double allowed =
        bearable_part * millis(objective) + worth_ms_per_token * tokens;
    if (later <= allowed)
        return true;
    // None but the least part fetches where the delay is twice what is
    // allowed, so that the store's queue stays short.
    const double part = std::max(least_part, 2 - later / allowed);
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(random % steps) < part * steps;
}

std::set<std::string, std::less<>>
FetchWatch::slow_stores(TimePoint now) const
{
    std::set<std::string, std::less<>> slow;
    for (const auto& [store, seen] : m_stores)
        if (later_ms(store, now) > slow_ms)
            slow.insert(store);
    return slow;
}

void
FetchWatch::pass_over_slow(std::span<const PromptPart> parts,
                           std::span<KeptPlace> places, Micros objective,
                           std::uint64_t random, TimePoint now) const
{
    std::uint32_t tokens = 0;
    for (const PromptPart& part : parts)
        tokens += part.tokens;
    bool slow = false;
    for (std::size_t i = 0; i < places.size(); ++i) {
        KeptPlace& place = places[i];
        const bool fetches = place.kind == KeptPlace::Kind::Fetch;
        slow = slow || (fetches && !should_fetch(place.store, tokens, objective,
                                                 random, now));
        if (fetches && slow)
            place = KeptPlace::read(KeptPlace::Reason::SlowStore);
        tokens -= parts[i].tokens;
    }
}

} // namespace crosslink
