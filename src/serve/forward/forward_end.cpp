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
    if (!m_next_chance.at)
        return come_back_unknown;
    return std::max(least_return, *m_next_chance.at - monotonic_now());
}

/// Refuses a call for which runners have no place because of limits that they
/// named. Callers that are refused together do not come back together.
void
ForwardRun::fail_limited()
{
    ++m_state.counters.calls_limited;
    throw Error(ErrorCode::UpstreamsLimited,
                "runners get as many calls as they named as their limits",
                RunState::NotDispatched,
                spread_return(time_to_chance(), random_bits()));
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
                    RunState::RefusedBeforeRun, least_return);
    default:
        if (m_next_chance.limited)
            fail_limited();
        throw Error(ErrorCode::NoUpstream, "no runner takes work",
                    RunState::NotDispatched, time_to_chance());
    }
}

} // namespace crosslink
