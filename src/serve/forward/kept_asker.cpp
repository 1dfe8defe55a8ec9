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

KeptAsker::KeptAsker(ForwardState& state, Steward& steward)
    : m_state(state), m_steward(steward)
{
}

bool
KeptAsker::remembered(const std::string& space,
                      std::span<const PromptPart> parts, KeptAnswer& answer)
{
    return m_memory.with([&](Memory& memory) {
        const TimePoint now = monotonic_now();
        if (memory.clock == 0)
            return false;
        answer.clock = clock_now(memory.clock, memory.clock_at, now);
        for (const PromptPart& part : parts) {
            const auto found = memory.places.find({space, part.id});
            if (found == memory.places.end())
                return false;
            if (found->second.until < answer.clock + least_left_ms) {
                memory.places.erase(found);
                return false;
            }
            answer.places.push_back(found->second);
        }
        return true;
    });
}

void
KeptAsker::remember(const std::string& space, std::span<const PromptPart> parts,
                    const KeptAnswer& answer, TimePoint asked)
{
    m_memory.with([&](Memory& memory) {
        // Counted from the question on, the clock is never told too early.
        memory.clock = answer.clock;
        memory.clock_at = asked;
        if (memory.places.size() > most_remembered)
            memory.places.clear();
        for (std::size_t i = 0; i < parts.size(); ++i)
            if (answer.places[i].kind == KeptPlace::Kind::Fetch)
                memory.places[{space, parts[i].id}] = answer.places[i];
    });
}

std::shared_ptr<FleetClient>
KeptAsker::steward_client()
{
    const std::string address = m_state.fleet.with(
        [](FleetView& view) { return view.steward; });
    const std::lock_guard lock(m_client_mutex);
    if (address != m_client_address) {
        m_client_address = address;
        m_client = address.empty() ? nullptr
                                   : std::make_shared<FleetClient>(address);
    }
    return m_client;
}

KeptAnswer
KeptAsker::ask(const std::string& space, std::span<const PromptPart> parts,
               Micros longest)
{
    KeptAnswer answer;
    if (remembered(space, parts, answer))
        return answer;
    answer = {};
    answer.places.resize(parts.size());
    const TimePoint asked = monotonic_now();
    if (m_memory.with([asked](Memory& memory) {
            return asked < memory.ask_again;
        }))
        return answer;
    try {
        const bool mine = m_state.steward_lease.with(
            [asked](DutyLease& lease) { return lease.held(asked); });
        if (mine) {
            answer = m_steward.ask_kept(space, parts, longest);
        } else if (const auto client = steward_client()) {
            answer = client->ask_kept(space, parts, longest);
            m_state.counters.kept_question.add(monotonic_now() - asked);
        } else {
            return answer;
        }
        remember(space, parts, answer, asked);
    } catch (const Error& failure) {
        LogLine("kept_question_failed").field("error", failure.what());
        m_memory.with(
            [&](Memory& memory) { memory.ask_again = asked + after_failure; });
        answer = {};
        answer.places.resize(parts.size());
    }
    return answer;
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
        const TimePoint now = monotonic_now();
        const bool mine = m_state.steward_lease.with(
            [now](DutyLease& lease) { return lease.held(now); });
        if (mine)
            m_steward.not_saved(space, unsaved);
        else if (const auto client = steward_client())
            client->not_saved(space, unsaved);
    } catch (const Error& failure) {
        // The directory learns of it when the save is overdue.
        LogLine("kept_return_failed").field("error", failure.what());
    }
}

} // namespace crosslink
