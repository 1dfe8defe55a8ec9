// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "instance_state.h"

#include <crosslink/admit/admission.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <vector>

namespace crosslink
{

/// Blocks requests until the admission control admits them. Thread-safe.
class AdmissionGate
{
public:
    explicit AdmissionGate(InstanceState& state);

    /// An admitted request's slot; the destructor releases it.
    class Slot
    {
    public:
        Slot(AdmissionGate& gate, std::uint64_t ticket)
            : m_gate(gate), m_ticket(ticket)
        {
        }
        ~Slot() { m_gate.release(m_ticket); }
        Slot(const Slot&) = delete;
        Slot& operator=(const Slot&) = delete;

    private:
        AdmissionGate& m_gate;
        const std::uint64_t m_ticket;
    };

    /// Blocks until the request is admitted. `tokens` is the estimate of the
    /// request's tokens. Throws Error with RateLimited, ConcurrencyLimited or
    /// QueueFull, or DeadlineUnreachable after the longest wait.
    std::unique_ptr<Slot> enter(const ClientAccount& account,
                                std::uint64_t tokens);
    /// Returns the use of the accounts that have open requests.
    std::vector<AccountUse> in_use();
    /// Returns the number of admitted requests.
    std::size_t running();
    /// Returns the number of requests that wait to be admitted.
    std::size_t waiting();

private:
    void release(std::uint64_t ticket);

    InstanceState& m_state;
    const AdmissionRules m_rules;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Admission m_admission;
    std::set<std::uint64_t> m_admitted; ///< Not returned by enter() yet.
};

} // namespace crosslink
