// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "answer_intake.h"

#include "forward_state.h"

#include <serve/log_line.h>

namespace crosslink
{

namespace
{

/// Returns whether an answer is of the runner that was asked. Another process
/// at its address answers that it is not the one that was meant, and speaks of
/// itself.
bool
is_of(const AnswerHead& head, const RunnerPick& runner)
{
    return head.runner.empty() ? !head.misdirected : head.runner == runner.id;
}

} // namespace

AnswerIntake::AnswerIntake(ForwardState& state, const ForwardedCall& call)
    : m_state(state), m_call(call)
{
}

void
AnswerIntake::take(const AnswerHead& head, const RunnerPick& runner)
{
    take_limit(head, runner);
    take_leaving(head, runner);
    take_backoff(head, runner);
    take_weights(head, runner);
}

void
AnswerIntake::take_surplus(const AnswerHead& head, const RunnerPick& runner)
{
    take_leaving(head, runner);
    take_backoff(head, runner);
}

/// That a runner names no limit counts only where it ran the call: others may
/// have refused it in its place.
void
AnswerIntake::take_limit(const AnswerHead& head, const RunnerPick& runner)
{
    if (!head.rate_limit) {
        unreadable("limit", runner);
        return;
    }
    const bool names_none = *head.rate_limit == no_rate_limit;
    const bool is_no_end =
        names_none && (!head.has_signature || runner.limit_change == 0);
    if (head.misdirected || is_no_end)
        return;
    m_state.note_runner_limit(runner.incarnation(), *head.rate_limit,
                              runner.limit_change);
}

void
AnswerIntake::take_leaving(const AnswerHead& head, const RunnerPick& runner)
{
    if (!head.leaving)
        unreadable("leaving", runner);
    else if (*head.leaving && is_of(head, runner))
        m_state.note_runner_leaving(runner.incarnation(), "answer");
}

void
AnswerIntake::take_backoff(const AnswerHead& head, const RunnerPick& runner)
{
    if (!head.backoff)
        unreadable("backoff", runner);
    else if (head.backoff->count() > 0 && is_of(head, runner))
        m_state.note_runner_backoff(runner.incarnation(), *head.backoff);
}

void
AnswerIntake::take_weights(const AnswerHead& head, const RunnerPick& runner)
{
    if (m_call.generation && head.version != 0)
        m_state.note_runner_weights(runner.incarnation(),
                                    m_call.generation->model, head.version,
                                    "answer");
}

/// A word that can't be read counts neither as said nor as taken back.
void
AnswerIntake::unreadable(const char* word, const RunnerPick& runner) const
{
    LogLine("word_unreadable")
        .field("word", word)
        .field("request", m_call.id)
        .field("runner", runner.id);
}

} // namespace crosslink
