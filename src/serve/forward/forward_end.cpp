// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardRun that ends a call without a complete answer, and tells
// the caller the reason and when to retry.

#include "forward_run.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/forward/queue_limit.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Retry time where no runner may accept the call. A runner must load weights
/// or start first: loading takes 1.1 to 2.6 s, and several runners load at
/// once.
constexpr Micros unknown_retry_time = std::chrono::seconds(1);

} // namespace

/// Ends a call without a complete answer. An answer that has begun is aborted;
/// otherwise, if a runner answered with a failure before, the caller gets that
/// answer.
void
ForwardRun::end_without_answer(CallerLink& link, Outcome outcome)
{
    if (link.begun())
        link.abort();
    else if (m_failed_answer)
        link.answer(m_failed_answer->head.status, m_failed_answer->head.headers,
                    m_failed_answer->body);
    else
        fail(outcome);
}

/// Ends a call whose request, or a part of whose prompt, is blocked because too
/// many runners exited while running it. The error has no retry time: the next
/// runner would exit as well. It must not have a status that promises that
/// nothing ran, as the caller would retry on that.
void
ForwardRun::end_blocked(CallerLink& link)
{
    ++m_state.counters.calls_blocked;
    LogLine("call_blocked")
        .field("request", m_call.id)
        .field("digest", m_crashes.blocked_key())
        .field("parts", m_crashes.part_ids());
    if (link.begun()) {
        link.abort();
        return;
    }
    throw Error(ErrorCode::RequestEndsUpstreams,
                "runners exited each time they ran this request or a part of "
                "its prompt",
                m_runs > 0 ? RunState::MayHaveRun : RunState::NotDispatched);
}

/// Returns the time after which a caller should retry a call that found no
/// runner.
Micros
ForwardRun::retry_time() const
{
    const auto chance = m_next_available.earliest();
    const Micros left =
        chance ? std::max(min_retry_delay, *chance - monotonic_now())
               : unknown_retry_time;
    // Callers refused during a backoff, or because of a limit, would all retry
    // at the same moment.
    const bool come_together =
        m_next_available.backoff_ends_at || m_next_available.limited;
    return come_together ? jittered_retry_delay(left, random_bits()) : left;
}

/// Returns the time after which a caller should retry a call that was refused
/// by the runners it was sent to, and that may be sent to no more runners. It
/// is min_retry_delay if a runner accepts calls now.
Micros
ForwardRun::retry_time_after_refusals()
{
    m_choice.clear_excluded();
    m_next_available = m_choice.next_available();
    const auto chance = m_next_available.earliest();
    return chance && *chance <= monotonic_now() ? min_retry_delay
                                                : retry_time();
}

/// Refuses a call that no runner may get because of the rate limits that the
/// runners set.
void
ForwardRun::fail_limited()
{
    ++m_state.counters.calls_limited;
    throw Error(ErrorCode::UpstreamsLimited,
                "runners have reached the rate limits that they set",
                RunState::NotDispatched, retry_time());
}

void
ForwardRun::fail(Outcome outcome)
{
    if (m_runs > 0)
        throw Error(ErrorCode::UpstreamFailed, "the answer broke off",
                    RunState::MayHaveRun);
    switch (outcome) {
    case Outcome::TimedOut:
        throw Error(ErrorCode::UpstreamTimeout, "no answer in time",
                    RunState::MayHaveRun);
    case Outcome::NotRun:
    case Outcome::Misdirected:
        throw Error(ErrorCode::UpstreamRefused, "runners have no room",
                    RunState::RefusedBeforeRun, retry_time_after_refusals());
    default:
        if (m_next_available.limited)
            fail_limited();
        throw Error(ErrorCode::NoUpstream,
                    m_next_available.backoff_ends_at
                        ? "runners asked to back off"
                        : "no runner accepts calls",
                    RunState::NotDispatched, retry_time());
    }
}

} // namespace crosslink
