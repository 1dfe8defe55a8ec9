// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/holder_history.h>

#include <algorithm>

namespace crosslink
{

void
HolderHistory::set_holder(std::string_view address, TimePoint now)
{
    if (address == m_holder)
        return;
    if (!m_holder.empty())
        m_ended[m_holder] = now;
    m_holder = address;
}

void
HolderHistory::record_gap(TimePoint now)
{
    m_from = now;
}

void
HolderHistory::learn(TimePoint from, std::span<const Ended> ended)
{
    if (from >= m_from)
        return;
    m_from = from;
    for (const Ended& holder : ended) {
        TimePoint& at = m_ended[holder.address];
        at = std::max(at, holder.at);
    }
}

std::vector<HolderHistory::Ended>
HolderHistory::ended() const
{
    std::vector<Ended> holders;
    for (const auto& [address, at] : m_ended)
        holders.push_back({address, at});
    return holders;
}

bool
HolderHistory::is_complete(Micros grace, TimePoint now) const
{
    return now >= m_from + grace;
}

std::vector<std::string>
HolderHistory::recent(Micros grace, TimePoint now) const
{
    std::vector<std::string> addresses;
    for (const auto& [address, ended] : m_ended)
        if (now < ended + grace && address != m_holder)
            addresses.push_back(address);
    return addresses;
}

} // namespace crosslink
