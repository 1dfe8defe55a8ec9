// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "admission_gate.h"

#include <adapters/clock.h>
#include <crosslink/base/error.h>

#include <memory>

namespace crosslink
{

namespace
{

constexpr Micros retry_delay = std::chrono::seconds(1);

AdmissionRules
rules_of(const Settings& settings)
{
    AdmissionRules rules;
    rules.most_running = settings.most_running;
    rules.most_waiting = settings.most_waiting;
    return rules;
}

} // namespace

AdmissionGate::AdmissionGate(InstanceState& state)
    : m_state(state), m_rules(rules_of(state.settings)), m_admission(m_rules)
{
}

std::unique_ptr<AdmissionGate::Slot>
AdmissionGate::enter(const ClientAccount& account, std::uint64_t tokens)
{
    const double share = m_state.limit_share();
    std::unique_lock lock(m_mutex);
    const AdmissionTicket ticket =
        m_admission.ask(account, tokens, share, monotonic_now());
    if (!ticket.admitted) {
        m_changed.wait_for(lock, m_rules.longest_wait,
                           [&] { return m_admitted.contains(ticket.number); });
        if (m_admitted.erase(ticket.number) == 0 &&
            m_admission.withdraw(ticket.number))
            throw Error(ErrorCode::DeadlineUnreachable,
                        "no place became free in time", RunState::NotDispatched,
                        retry_delay);
    }
    return std::make_unique<Slot>(*this, ticket.number);
}

void
AdmissionGate::release(std::uint64_t ticket)
{
    {
        const std::lock_guard lock(m_mutex);
        for (const std::uint64_t admitted : m_admission.release(ticket))
            m_admitted.insert(admitted);
    }
    m_changed.notify_all();
}

std::size_t
AdmissionGate::running()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.running();
}

std::size_t
AdmissionGate::waiting()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.waiting();
}

std::vector<AccountUse>
AdmissionGate::in_use()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.in_use();
}

} // namespace crosslink
