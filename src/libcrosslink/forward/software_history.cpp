// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/software_history.h>

#include <crosslink/forward/stream_origins.h>

#include <algorithm>

namespace crosslink
{

void
SoftwareHistory::observe(const SoftwareCounts& listed, TimePoint now)
{
    for (const auto& [service, versions] : listed)
        for (const auto& [software, count] : versions)
            m_listed_at[service][software] = now;
    for (auto& [service, versions] : m_listed_at)
        std::erase_if(versions, [now](const auto& item) {
            return now >= item.second + StreamOrigins::lifetime;
        });
    std::erase_if(m_listed_at,
                  [](const auto& item) { return item.second.empty(); });
}

bool
SoftwareHistory::several(std::string_view service, TimePoint now) const
{
    const auto found = m_listed_at.find(service);
    if (found == m_listed_at.end())
        return false;
    const auto recent = std::count_if(
        found->second.begin(), found->second.end(), [now](const auto& item) {
            return now < item.second + StreamOrigins::lifetime;
        });
    return recent > 1;
}

bool
SoftwareHistory::any_several(TimePoint now) const
{
    return std::any_of(
        m_listed_at.begin(), m_listed_at.end(),
        [this, now](const auto& item) { return several(item.first, now); });
}

} // namespace crosslink
