// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/holder_history.h>

namespace crosslink
{

void
HolderHistory::named(std::string_view address, TimePoint now)
{
    if (address == m_holder)
        return;
    if (!m_holder.empty())
        m_ended[m_holder] = now;
    m_holder = address;
}

void
HolderHistory::missed(TimePoint now)
{
    m_from = now;
}

bool
HolderHistory::covers(Micros grace, TimePoint now) const
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
