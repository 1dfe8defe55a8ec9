// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "kept_asker.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Pause after a question that failed: calls must not wait for a holder of
/// the duty that is gone.
constexpr Micros after_failure = std::chrono::milliseconds(400);
/// A remembered place is used only while it holds for this long, so that a
/// fetch has time to end.
constexpr RunnerMillis least_left_ms = 500;
/// Remembered places; about 200 bytes each.
constexpr std::size_t most_remembered = 20'000;

RunnerMillis
clock_now(RunnerMillis clock, TimePoint at, TimePoint now)
{
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    return clock + static_cast<RunnerMillis>(since.count());
}

} // namespace

KeptAsker::KeptAsker(ForwardState& state, StewardLink& steward)
    : m_state(state), m_steward(steward)
{
}

std::optional<KeptAnswer>
KeptAsker::remembered(const Key& key)
{
    return m_memory.with([&](Memory& memory) -> std::optional<KeptAnswer> {
        const auto found = memory.answers.find(key);
        if (found == memory.answers.end())
            return std::nullopt;
        KeptAnswer answer = found->second;
        answer.clock =
            clock_now(memory.clock, memory.clock_at, monotonic_now());
        const bool holds = std::all_of(
            answer.places.begin(), answer.places.end(),
            [&answer](const KeptPlace& place) {
                return place.until >= answer.clock + least_left_ms;
            });
        if (holds)
            return answer;
        memory.answers.erase(found);
        return std::nullopt;
    });
}

void
KeptAsker::remember(const Key& key, const KeptAnswer& answer, TimePoint asked)
{
    const bool all_kept = std::all_of(
        answer.places.begin(), answer.places.end(), [](const KeptPlace& place) {
            return place.kind == KeptPlace::Kind::Fetch;
        });
    m_memory.with([&](Memory& memory) {
        // Counted from the question on, the clock is never told too early.
        memory.clock = answer.clock;
        memory.clock_at = asked;
        if (memory.answers.size() > most_remembered)
            memory.answers.clear();
        if (all_kept)
            memory.answers[key] = answer;
    });
}

KeptAnswer
KeptAsker::ask(const KeptSpace& space, std::span<const PromptPart> parts,
               Micros longest)
{
    const Key key{space.text(), parts.back().id};
    if (auto answer = remembered(key))
        return *answer;
    const TimePoint asked = monotonic_now();
    const bool pausing = m_memory.with(
        [asked](Memory& memory) { return asked < memory.ask_again; });
    if (!pausing) {
        if (auto answer = ask_steward(space, parts, longest, asked)) {
            remember(key, *answer, asked);
            return *answer;
        }
    }
    KeptAnswer nothing;
    nothing.space = space.text();
    nothing.places.resize(parts.size());
    return nothing;
}

std::optional<KeptAnswer>
KeptAsker::ask_steward(const KeptSpace& space,
                       std::span<const PromptPart> parts, Micros longest,
                       TimePoint asked)
{
    try {
        KeptAnswer answer = m_steward.with([&](auto& steward) {
            return steward.ask_kept(space, parts, longest);
        });
        m_state.counters.kept_question.add(monotonic_now() - asked);
        return answer;
    } catch (const Error& failure) {
        LogLine("kept_question_failed").field("error", failure.what());
        m_memory.with(
            [&](Memory& memory) { memory.ask_again = asked + after_failure; });
        return std::nullopt;
    }
}

void
KeptAsker::not_saved(const std::string& space,
                     std::span<const PromptPart> parts,
                     std::span<const KeptPlace> places)
{
    std::vector<PromptPart> unsaved;
    for (std::size_t i = 0; i < places.size(); ++i)
        if (places[i].kind == KeptPlace::Kind::Save)
            unsaved.push_back(parts[i]);
    if (unsaved.empty())
        return;
    try {
        m_steward.with([&](auto& steward) { steward.not_saved(space, unsaved); });
    } catch (const Error& failure) {
        // The directory learns of it when the save is overdue.
        LogLine("kept_return_failed").field("error", failure.what());
    }
}

} // namespace crosslink
