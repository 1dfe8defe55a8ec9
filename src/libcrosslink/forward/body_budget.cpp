// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/body_budget.h>

namespace crosslink
{

bool
BodyBudget::take(std::uint64_t bytes)
{
    std::uint64_t held = m_held;
    do {
        if (bytes > m_limit || held > m_limit - bytes)
            return false;
    } while (!m_held.compare_exchange_weak(held, held + bytes));
    std::uint64_t peak = m_peak;
    while (peak < held + bytes &&
           !m_peak.compare_exchange_weak(peak, held + bytes)) {
    }
    return true;
}

void
BodyBudget::give_back(std::uint64_t bytes)
{
    m_held -= bytes;
}

} // namespace crosslink
