// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "answer_intake.h"

#include "forward_state.h"

#include <serve/log_line.h>

namespace crosslink
{

namespace
{

/// Returns whether an answer comes from the runner that the call was sent to.
/// Another process at its address answers that the call is misdirected, and
/// reports its own state.
bool
is_from(const AnswerHead& head, const RunnerPick& runner)
{
    return head.runner.empty() ? !head.misdirected : head.runner == runner.id;
}

} // namespace

AnswerIntake::AnswerIntake(ForwardState& state, const ForwardedCall& call)
    : m_state(state), m_call(call)
{
}

void
AnswerIntake::apply(const AnswerHead& head, const RunnerPick& runner)
{
    apply_limit(head, runner);
    apply_bearable_refusals(head, runner);
    apply_leaving(head, runner);
    apply_backoff(head, runner);
    apply_weights(head, runner);
}

void
AnswerIntake::apply_surplus(const AnswerHead& head, const RunnerPick& runner)
{
    apply_leaving(head, runner);
    apply_backoff(head, runner);
}

/// An answer without a limit ends a known limit only if the runner ran the
/// call, which its signature shows: another process may have refused the call
/// in its place.
void
AnswerIntake::apply_limit(const AnswerHead& head, const RunnerPick& runner)
{
    if (!head.rate_limit) {
        log_unreadable("limit", runner);
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
AnswerIntake::apply_bearable_refusals(const AnswerHead& head,
                                      const RunnerPick& runner)
{
    if (!head.bearable_refusals)
        log_unreadable("brittle", runner);
    else if (*head.bearable_refusals != runner.bearable_refusals &&
             !head.misdirected && is_from(head, runner))
        m_state.note_bearable_refusals(runner.incarnation(),
                                       *head.bearable_refusals);
}

void
AnswerIntake::apply_leaving(const AnswerHead& head, const RunnerPick& runner)
{
    if (!head.leaving)
        log_unreadable("leaving", runner);
    else if (*head.leaving && is_from(head, runner))
        m_state.note_runner_leaving(runner.incarnation(), "answer");
}

void
AnswerIntake::apply_backoff(const AnswerHead& head, const RunnerPick& runner)
{
    if (!head.backoff)
        log_unreadable("backoff", runner);
    else if (head.backoff->count() > 0 && is_from(head, runner))
        m_state.note_runner_backoff(runner.incarnation(), *head.backoff);
}

void
AnswerIntake::apply_weights(const AnswerHead& head, const RunnerPick& runner)
{
    if (m_call.generation && head.version != 0)
        m_state.note_runner_weights(runner.incarnation(),
                                    m_call.generation->model, head.version,
                                    "answer");
}

/// Logs a value that can't be parsed. It neither sets nor clears anything.
void
AnswerIntake::log_unreadable(const char* word, const RunnerPick& runner) const
{
    LogLine("word_unreadable")
        .field("word", word)
        .field("request", m_call.id)
        .field("runner", runner.id);
}

} // namespace crosslink
