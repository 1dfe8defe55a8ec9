// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "admission_check.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/forward/queue_limit.h>

#include <string>

namespace crosslink
{

AdmissionCheck::AdmissionCheck(ForwardState& state, RunnerChoice& choice,
                               const ForwardedCall& call,
                               const ServiceRoute& route,
                               const AccountSettings* account)
    : m_state(state), m_choice(choice), m_call(call), m_route(route),
      m_account(account)
{
    m_state.admissions.with([this](AdmissionCounts& counts) {
        counts.requested(m_choice.service(), priority());
    });
}

void
AdmissionCheck::check(bool attempted) const
{
    if (attempted || !m_call.generation || !m_call.last_event.empty())
        return;
    QueuedCall queued = queued_call();
    const std::uint64_t random = random_bits();
    auto refusal = QueueLimit::refusal(queued, random);
    if (refusal && m_choice.ignore_segments() && m_choice.choose()) {
        queued = queued_call();
        refusal = QueueLimit::refusal(queued, random);
    }
    if (refusal)
        refuse(queued, *refusal);
}

/// Returns the call as it would wait for the chosen runner.
QueuedCall
AdmissionCheck::queued_call() const
{
    QueuedCall queued;
    queued.expected_wait = m_choice.pick().wait;
    queued.objective = m_route.objective;
    queued.waited = monotonic_now() - m_call.received_at;
    queued.urgency = m_state.urgencies.with([this](UrgencyTracker& urgencies) {
        return urgencies.called(m_choice.service(), priority(),
                                m_route.objective, monotonic_now());
    });
    queued.account_above_share = m_choice.account_above_share();
    return queued;
}

void
AdmissionCheck::refuse(const QueuedCall& call,
                       const QueueRefusal& refusal) const
{
    using Reason = QueueRefusal::Reason;
    auto& counters = m_state.counters;
    ++(refusal.reason == Reason::LessUrgent   ? counters.less_urgent
       : refusal.reason == Reason::AboveShare ? counters.above_share
                                              : counters.queue_too_long);
    m_state.admissions.with([&](AdmissionCounts& counts) {
        counts.refused(m_choice.service(), priority(), refusal.reason);
    });
    LogLine("call_not_admitted")
        .field("request", m_call.id)
        .field("service", m_choice.service())
        .field("account", m_account ? m_account->name : std::string())
        .field("priority", priority())
        .field("level", call.urgency.level)
        .field("above_share", call.account_above_share)
        .field("why", queue_refusal_name(refusal.reason))
        .field("runner", m_choice.pick().id)
        .span("expected_wait", call.expected_wait)
        .span("allowed_wait", refusal.allowed)
        .span("load_age", m_choice.load_age())
        .span("retry_after", refusal.retry_after);
    throw Error(ErrorCode::NoUpstream, "the queues of the runners are too long",
                RunState::NotDispatched, refusal.retry_after);
}

std::uint32_t
AdmissionCheck::priority() const
{
    return m_account && m_account->has_priority ? m_account->priority
                                                : m_route.priority;
}

} // namespace crosslink
