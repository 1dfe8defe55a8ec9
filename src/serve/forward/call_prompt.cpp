// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_prompt.h"

#include <adapters/clock.h>
#include <adapters/random.h>

#include <crosslink/forward/runner_price.h>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace crosslink
{

namespace
{

/// Longest time for a fetch, as a multiple of the route's objective. After it,
/// the prompt is read instead.
constexpr int max_fetch_objectives = 2;

using SecondsByZone = std::map<std::string, double>;

/// Sets the zone and time of `near` to those of the zone from which fetching
/// takes longest in total.
void
set_slowest_zone(KeptNear& near, const SecondsByZone& seconds_by_zone)
{
    for (const auto& [zone, time] : seconds_by_zone)
        if (time > seconds(near.fetch_time)) {
            near.zone = zone;
            near.fetch_time = from_seconds(time);
        }
}

/// Returns the letter for `place` in the log; see CallPrompt::summary().
char
log_letter(const KeptPlace& place)
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

CallPrompt::CallPrompt(ForwardState& state, KeptLocator& kept,
                       const ForwardedCall& call, Micros objective)
    : m_state(state), m_kept(kept), m_call(call), m_objective(objective)
{
}

KeptNear
CallPrompt::fetch_estimate(const KeptSpace& space, const ServiceMap& map,
                           const EngineInfo& engine)
{
    const auto parts = m_call.generation->shared_parts();
    if (parts.empty())
        return {};
    const auto answer = m_kept.locate_locally(space, parts);
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
    set_slowest_zone(near, seconds_by_zone);
    return near;
}

void
CallPrompt::locate_parts(const KeptSpace& space, std::string_view zone,
                         Micros time_left, SendOptions& options)
{
    m_sent.zone = zone;
    const auto parts = m_call.generation->shared_parts();
    m_sent.places.clear();
    m_sent.tokens_to_read = m_call.generation->prompt_tokens;
    options.space = space.text();
    if (parts.empty())
        return;
    const KeptAnswer answer = m_kept.locate(space, parts, time_left);
    m_sent.places = answer.places;
    m_sent.space = answer.space;
    const FetchGain gain = gain_of(parts);
    m_state.fetches.with([&](FetchDelayTracker& tracker) {
        tracker.skip_slow_stores(parts, m_sent.places, m_sent.zone, gain,
                                 random_bits(), monotonic_now());
    });
    options.space = answer.space;
    options.places = m_sent.places;
    apply_places(answer, options);
}

/// Returns what the call gains by fetching all of `parts`.
FetchGain
CallPrompt::gain_of(std::span<const PromptPart> parts) const
{
    std::uint64_t tokens = 0;
    for (const PromptPart& part : parts)
        tokens += part.tokens;
    FetchGain gain;
    // Callers state the tokens.
    gain.tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        tokens, std::numeric_limits<std::uint32_t>::max()));
    gain.prefill = reading_time(gain.tokens);
    gain.objective = m_objective;
    return gain;
}

void
CallPrompt::locate_for_copy(const KeptSpace& space, std::string_view zone,
                            SendOptions& options)
{
    m_sent.zone = zone;
    const auto parts = m_call.generation->shared_parts();
    m_sent.places.clear();
    m_sent.tokens_to_read = m_call.generation->prompt_tokens;
    m_sent.space = space.text();
    options.space = m_sent.space;
    const auto answer =
        parts.empty() ? std::nullopt : m_kept.locate_locally(space, parts);
    if (!answer)
        return;
    m_sent.space = answer->space;
    m_sent.places = answer->places;
    for (KeptPlace& place : m_sent.places)
        if (place.kind == KeptPlace::Kind::Save)
            place = KeptPlace::compute(KeptPlace::Reason::BeingSaved);
    options.space = m_sent.space;
    options.places = m_sent.places;
    apply_places(*answer, options);
}

void
CallPrompt::swap(CallPrompt& other) noexcept
{
    std::swap(m_sent, other.m_sent);
}

/// Counts the parts that are fetched, saved and read, and sets the time by
/// which the fetches must end.
void
CallPrompt::apply_places(const KeptAnswer& answer, SendOptions& options)
{
    const auto parts = m_call.generation->shared_parts();
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_objective * max_fetch_objectives);
    RunnerMillis until =
        answer.clock + static_cast<RunnerMillis>(patience.count());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const KeptPlace& place = m_sent.places[i];
        switch (place.kind) {
        case KeptPlace::Kind::Fetch:
            m_sent.tokens_to_read -=
                std::min<std::uint64_t>(m_sent.tokens_to_read, parts[i].tokens);
            until = std::min(until, place.until);
            options.fetch_until = until;
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
    return !m_sent.places.empty() &&
           std::all_of(m_sent.places.begin(), m_sent.places.end(),
                       [](const KeptPlace& place) {
                           return place.kind == KeptPlace::Kind::Fetch;
                       });
}

/// Returns whether the runner reads all shared parts, and saves none: a save
/// may delay the first event.
bool
CallPrompt::prefills_all() const
{
    return !m_sent.places.empty() &&
           std::all_of(m_sent.places.begin(), m_sent.places.end(),
                       [](const KeptPlace& place) {
                           return place.kind == KeptPlace::Kind::None;
                       });
}

bool
CallPrompt::fetches() const
{
    return std::any_of(m_sent.places.begin(), m_sent.places.end(),
                       [](const KeptPlace& place) {
                           return place.kind == KeptPlace::Kind::Fetch;
                       });
}

bool
CallPrompt::measures_prefill() const
{
    return m_sent.tokens_to_read > 0 &&
           std::all_of(m_sent.places.begin(), m_sent.places.end(),
                       [](const KeptPlace& place) {
                           return place.kind == KeptPlace::Kind::Save;
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
    return m_sent.places[static_cast<std::size_t>(largest - parts.begin())]
        .store;
}

void
CallPrompt::note_sent(TimePoint now, Micros runner_wait, double rate)
{
    m_sent.is_read = false;
    m_sent.expected =
        now + runner_wait + reading_time(m_sent.tokens_to_read, rate);
    m_sent.measured.reset();
    // The time to the first event measures a store only if the runner reads
    // none of the shared parts, and the runner alone only if it reads them all.
    if (fetches_all())
        m_sent.measured = FetchPath{store_of_largest(), m_sent.zone};
    else if (prefills_all())
        m_sent.measured = FetchPath::without_store(m_sent.zone);
    if (!m_sent.measured)
        return;
    m_state.fetches.with([this](FetchDelayTracker& tracker) {
        tracker.sent(*m_sent.measured, m_sent.expected);
    });
}

void
CallPrompt::note_first_event()
{
    m_sent.is_read = true;
    if (!m_sent.measured)
        return;
    m_state.fetches.with([this](FetchDelayTracker& tracker) {
        tracker.first_event(*m_sent.measured, m_sent.expected, monotonic_now());
    });
}

void
CallPrompt::note_ended()
{
    if (m_sent.is_read || !m_sent.measured)
        return;
    m_state.fetches.with([this](FetchDelayTracker& tracker) {
        tracker.ended(*m_sent.measured, m_sent.expected);
    });
}

void
CallPrompt::cancel_saves()
{
    if (m_call.generation)
        m_kept.cancel_saves(m_sent.space, m_call.generation->shared_parts(),
                            m_sent.places);
}

std::string
CallPrompt::summary() const
{
    std::string text;
    for (const KeptPlace& place : m_sent.places)
        text += log_letter(place);
    return text;
}

} // namespace crosslink
