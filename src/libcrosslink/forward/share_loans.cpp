// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/share_loans.h>

#include <algorithm>

namespace crosslink
{

TimePoint
ShareLoans::ask_at(std::string_view holder, std::string_view runner) const
{
    const auto found =
        m_refusals.find(Key(std::string(holder), std::string(runner)));
    return found == m_refusals.end() ? TimePoint{} : found->second;
}

void
ShareLoans::refused(std::string_view holder, std::string_view runner,
                    Micros pause, TimePoint now)
{
    if (m_refusals.size() >= max_refusals)
        std::erase_if(m_refusals,
                      [now](const auto& item) { return item.second <= now; });
    // All of them still hold: the one that ends first is the least useful.
    if (m_refusals.size() >= max_refusals)
        m_refusals.erase(std::min_element(
            m_refusals.begin(), m_refusals.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; }));
    m_refusals[Key(std::string(holder), std::string(runner))] =
        now + std::clamp(pause, min_pause, max_pause);
}

} // namespace crosslink
