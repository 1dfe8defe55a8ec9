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

/// Holds requests until the admission lets them through. Safe for many
/// threads.
class AdmissionGate
{
public:
    explicit AdmissionGate(InstanceState& state);

    /// A place that was given; it is free again at the end of this object.
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

    /// Returns once the request may go on. Throws Error with RateLimited,
    /// ConcurrencyLimited, QueueFull, or DeadlineUnreachable after the longest
    /// wait.
    std::unique_ptr<Slot> enter(const ClientAccount& account,
                                std::uint64_t tokens);
    /// Returns the accounts that have requests open.
    std::vector<AccountUse> in_use();
    /// Returns the number of requests that run and that wait.
    std::size_t running();
    std::size_t waiting();

private:
    void release(std::uint64_t ticket);

    InstanceState& m_state;
    const AdmissionRules m_rules;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Admission m_admission;
    std::set<std::uint64_t> m_admitted; ///< Not picked up yet.
};

} // namespace crosslink
