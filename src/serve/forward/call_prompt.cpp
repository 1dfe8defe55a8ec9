// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_prompt.h"

#include <adapters/clock.h>
#include <adapters/random.h>

#include <crosslink/forward/runner_price.h>

#include <algorithm>
#include <map>

namespace crosslink
{

namespace
{

/// A fetch must end within so many times the objective; else the prompt is
/// read.
constexpr int objectives_for_fetch = 2;

using SecondsByZone = std::map<std::string, double>;

/// Adds to `near` the zone from which fetching takes longest in all.
void
add_longest(KeptNear& near, const SecondsByZone& seconds_by_zone)
{
    for (const auto& [zone, time] : seconds_by_zone)
        if (time > seconds(near.fetch_time)) {
            near.zone = zone;
            near.fetch_time = from_seconds(time);
        }
}

/// Returns the letter that stands for `place` in the log.
char
letter_of(const KeptPlace& place)
{
    using Reason = KeptPlace::Reason;
    if (place.kind == KeptPlace::Kind::Fetch)
        return 'f';
    if (place.kind == KeptPlace::Kind::Save)
        return 's';
    switch (place.reason) {
    case Reason::Unknown:
        break;
    case Reason::BeingSaved:
        return 'b';
    case Reason::BeingFreed:
        return 'g';
    case Reason::StoreUnreachable:
        return 'a';
    case Reason::NoRoom:
        return 'n';
    case Reason::OtherTerm:
        return 't';
    case Reason::SlowStore:
        return 'w';
    }
    return 'r';
}

} // namespace

CallPrompt::CallPrompt(ForwardState& state, KeptAsker& kept,
                       const ForwardedCall& call, Micros objective)
    : m_state(state), m_kept(kept), m_call(call), m_objective(objective)
{
}

KeptNear
CallPrompt::near(const KeptSpace& space, const ServiceMap& map,
                 const EngineInfo& engine)
{
    const auto parts = m_call.generation->shared_parts();
    if (parts.empty())
        return {};
    const auto answer = m_kept.look(space, parts);
    if (!answer)
        return {};
    KeptNear near;
    SecondsByZone seconds_by_zone;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const KeptStoreInfo* store = map.find_store(answer->places[i].store);
        if (!store)
            continue;
        near.fetched_tokens += parts[i].tokens;
        if (store->link_bytes_per_second > 0)
            seconds_by_zone[store->zone] +=
                static_cast<double>(parts[i].tokens) * engine.token_bytes /
                store->link_bytes_per_second;
    }
    add_longest(near, seconds_by_zone);
    return near;
}

void
CallPrompt::ask(const KeptSpace& space, std::string_view zone, Micros time_left,
                SendOptions& terms)
{
    m_zone = zone;
    const auto parts = m_call.generation->shared_parts();
    m_places.clear();
    m_tokens_to_read = m_call.generation->prompt_tokens;
    terms.space = space.text();
    if (parts.empty())
        return;
    const KeptAnswer answer = m_kept.ask(space, parts, time_left);
    m_places = answer.places;
    m_space = answer.space;
    m_state.fetches.with([&](FetchDelayTracker& watch) {
        watch.skip_slow_stores(parts, m_places, m_zone, m_objective,
                               random_bits(), monotonic_now());
    });
    terms.space = answer.space;
    terms.places = m_places;
    fetch_or_read(answer, terms);
}

/// Counts what is fetched, saved and read, and bounds the fetches.
void
CallPrompt::fetch_or_read(const KeptAnswer& answer, SendOptions& terms)
{
    const auto parts = m_call.generation->shared_parts();
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_objective * objectives_for_fetch);
    RunnerMillis until =
        answer.clock + static_cast<RunnerMillis>(patience.count());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const KeptPlace& place = m_places[i];
        switch (place.kind) {
        case KeptPlace::Kind::Fetch:
            m_tokens_to_read -=
                std::min<std::uint64_t>(m_tokens_to_read, parts[i].tokens);
            until = std::min(until, place.until);
            terms.fetch_until = until;
            ++m_state.counters.parts_fetched;
            break;
        case KeptPlace::Kind::Save:
            ++m_state.counters.parts_saved;
            break;
        case KeptPlace::Kind::None:
            ++m_state.counters.parts_read;
            break;
        }
    }
}

bool
CallPrompt::fetches_all() const
{
    return !m_places.empty() &&
           std::all_of(m_places.begin(), m_places.end(),
                       [](const KeptPlace& place) {
                           return place.kind == KeptPlace::Kind::Fetch;
                       });
}

const std::string&
CallPrompt::store_of_largest() const
{
    const auto parts = m_call.generation->shared_parts();
    const auto largest =
        std::max_element(parts.begin(), parts.end(),
                         [](const PromptPart& one, const PromptPart& other) {
                             return one.tokens < other.tokens;
                         });
    return m_places[static_cast<std::size_t>(largest - parts.begin())].store;
}

void
CallPrompt::sent(TimePoint now, Micros runner_wait)
{
    m_read = false;
    m_expected = now + runner_wait + reading_time(m_tokens_to_read);
    m_watched.reset();
    // The time of a call tells of a store where the call reads none of its
    // shared parts.
    if (!fetches_all())
        return;
    m_watched = FetchPath{store_of_largest(), m_zone};
    m_state.fetches.with([this](FetchDelayTracker& watch) {
        watch.sent(*m_watched, m_expected);
    });
}

void
CallPrompt::first_event()
{
    m_read = true;
    if (!m_watched)
        return;
    m_state.fetches.with([this](FetchDelayTracker& watch) {
        watch.first_event(*m_watched, m_expected, monotonic_now());
    });
}

void
CallPrompt::ended()
{
    if (m_read || !m_watched)
        return;
    m_state.fetches.with([this](FetchDelayTracker& watch) {
        watch.ended(*m_watched, m_expected);
    });
}

void
CallPrompt::not_run()
{
    if (m_call.generation)
        m_kept.not_saved(m_space, m_call.generation->shared_parts(), m_places);
}

std::string
CallPrompt::summary() const
{
    std::string text;
    for (const KeptPlace& place : m_places)
        text += letter_of(place);
    return text;
}

} // namespace crosslink
