// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/invariants.h>
#include <crosslink/configuration/configuration_state.h>

namespace crosslink
{

bool
ConfigurationState::set_if_newer(ConfigurationPtr candidate)
{
    const std::lock_guard lock(m_mutex);
    if (!candidate)
        return false;
    if (m_current && candidate->revision() <= m_current->revision())
        return false;
    check_invariant(Invariant::RevisionNeverReverts,
                    !m_current ||
                        candidate->revision() > m_current->revision());
    m_current = std::move(candidate);
    return true;
}

ConfigurationState::ConfigurationPtr
ConfigurationState::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::uint64_t
ConfigurationState::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_current ? m_current->revision() : 0;
}

bool
may_start_serving(const StartupReplies& replies, std::uint64_t revision)
{
    if (revision == 0)
        return false;
    if (replies.platform_answered)
        return true;
    return replies.zone_members > 0 &&
           replies.zone_answered == replies.zone_members;
}

} // namespace crosslink
