// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "kept_locator.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>

#include <algorithm>

namespace crosslink
{

KeptLocator::KeptLocator(ForwardState& state, CoordinatorLink& coordinator)
    : m_state(state), m_coordinator(coordinator)
{
}

KeptAnswer
KeptLocator::locate(const KeptSpace& space, std::span<const PromptPart> parts,
                    Micros longest)
{
    const TimePoint now = monotonic_now();
    const auto find = [&](bool best_effort) {
        return m_state.kept.with([&](KeptReplica& replica) {
            return replica.find(space, parts, best_effort, now);
        });
    };
    if (auto answer = find(false))
        return *answer;
    if (may_ask(now))
        if (auto answer = ask_coordinator(space, parts, longest, now))
            return *answer;
    if (auto answer = find(true))
        return *answer;
    KeptAnswer nothing;
    nothing.space = space.text();
    nothing.places.resize(parts.size());
    return nothing;
}

std::optional<KeptAnswer>
KeptLocator::locate_locally(const KeptSpace& space,
                            std::span<const PromptPart> parts)
{
    const TimePoint now = monotonic_now();
    return m_state.kept.with([&](KeptReplica& replica) {
        return replica.find(space, parts, true, now);
    });
}

bool
KeptLocator::may_ask(TimePoint now)
{
    const std::string holder = m_coordinator.address();
    return m_pacing.with(
        [&](QuestionPacing& pacing) { return pacing.may_ask(holder, now); });
}

std::optional<KeptAnswer>
KeptLocator::ask_coordinator(const KeptSpace& space,
                             std::span<const PromptPart> parts, Micros longest,
                             TimePoint asked)
{
    try {
        KeptAnswer answer = m_coordinator.with([&](auto& coordinator) {
            return coordinator.find_kept_parts(space, parts, longest);
        });
        m_state.counters.kept_question.add(monotonic_now() - asked);
        m_pacing.with(
            [asked](QuestionPacing& pacing) { pacing.answered(asked); });
        return answer;
    } catch (const std::exception& failure) {
        LogLine("kept_question_failed").field("error", failure.what());
        const std::size_t instances = m_state.instance_count();
        m_pacing.with([&](QuestionPacing& pacing) {
            pacing.failed(asked, instances, random_bits());
        });
        return std::nullopt;
    }
}

void
KeptLocator::cancel_saves(const std::string& space,
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
        m_coordinator.with([&](auto& coordinator) {
            coordinator.cancel_saves(space, unsaved);
        });
    } catch (const Error& failure) {
        // The directory finds out when the save is overdue.
        LogLine("kept_return_failed").field("error", failure.what());
    }
}

} // namespace crosslink
