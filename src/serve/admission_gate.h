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
    class Place
    {
    public:
        Place(AdmissionGate& gate, std::uint64_t ticket)
            : m_gate(gate), m_ticket(ticket)
        {
        }
        ~Place() { m_gate.release(m_ticket); }
        Place(const Place&) = delete;
        Place& operator=(const Place&) = delete;

    private:
        AdmissionGate& m_gate;
        const std::uint64_t m_ticket;
    };

    /// Returns once the request may go on. Throws Error with RateLimited,
    /// ConcurrencyLimited, QueueFull, or DeadlineUnreachable after the longest
    /// wait.
    std::unique_ptr<Place> enter(const ClientAccount& account,
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
