// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of a run that ends it without a whole answer, and tells the caller
// why, and when to come back.

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

/// Where no runner may take the call, one must load weights first, or start:
/// loading takes 1.1 to 2.6 s, and several do at once.
constexpr Micros come_back_unknown = std::chrono::seconds(1);

} // namespace

/// Ends a call without a whole answer: an answer that has begun is broken off.
/// A runner's failure that came before stands as the answer.
void
ForwardRun::give_up(CallerLink& link, Outcome outcome)
{
    if (link.begun())
        link.break_off();
    else if (m_failed_answer)
        link.answer(m_failed_answer->head.status, m_failed_answer->head.headers,
                    m_failed_answer->body);
    else
        fail(outcome);
}

/// Ends a call whose request ended too many runners. The caller is told so at
/// once, and with no time to come back: the same would happen to the next
/// runner. A status that promises that nothing ran would bring it back.
void
ForwardRun::end_blocked(CallerLink& link)
{
    ++m_state.counters.calls_blocked;
    LogLine("call_blocked")
        .field("request", m_call.id)
        .field("digest", m_crashes.digest());
    if (link.begun()) {
        link.break_off();
        return;
    }
    throw Error(ErrorCode::RequestEndsUpstreams,
                "runners ended each time they ran this request",
                m_runs > 0 ? RunState::MayHaveRun : RunState::NotDispatched);
}

/// Returns when a caller whose call found no runner should come back.
Micros
ForwardRun::time_to_chance() const
{
    const auto chance = m_next_available.earliest();
    const Micros left =
        chance ? std::max(min_retry_delay, *chance - monotonic_now())
               : come_back_unknown;
    // Callers that are refused in a backoff, or for a limit, would all come
    // back at the same moment.
    const bool come_together =
        m_next_available.backoff_ends_at || m_next_available.limited;
    return come_together ? jittered_retry_delay(left, random_bits()) : left;
}

/// Returns when a caller should come back whose call was refused by the runners
/// that it was sent to, and may be sent to no more of them: at once where one
/// takes work.
Micros
ForwardRun::time_after_refusals()
{
    m_choice.pass_over_none();
    m_next_available = m_choice.next_available();
    const auto chance = m_next_available.earliest();
    return chance && *chance <= monotonic_now() ? min_retry_delay
                                                : time_to_chance();
}

/// Refuses a call for which runners have no place because of limits that they
/// named.
void
ForwardRun::fail_limited()
{
    ++m_state.counters.calls_limited;
    throw Error(ErrorCode::UpstreamsLimited,
                "runners get as many calls as they named as their limits",
                RunState::NotDispatched, time_to_chance());
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
                    RunState::RefusedBeforeRun, time_after_refusals());
    default:
        if (m_next_available.limited)
            fail_limited();
        throw Error(ErrorCode::NoUpstream,
                    m_next_available.backoff_ends_at
                        ? "runners asked to back off"
                        : "no runner takes work",
                    RunState::NotDispatched, time_to_chance());
    }
}

} // namespace crosslink
