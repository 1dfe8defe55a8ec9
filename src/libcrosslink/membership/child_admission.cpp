// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/child_admission.h>

namespace crosslink
{

namespace
{

/// Longer than several pauses between two polls of a child.
constexpr Micros admission_time = std::chrono::seconds(1);

} // namespace

bool
ChildAdmission::admit(std::string_view child, TimePoint now)
{
    const auto known = m_children.find(child);
    if (known != m_children.end()) {
        known->second = now;
        return true;
    }
    if (m_children.size() >= max_admitted_children)
        std::erase_if(m_children, [now](const auto& item) {
            return now > item.second + admission_time;
        });
    if (m_children.size() >= max_admitted_children)
        return false;
    m_children.emplace(child, now);
    return true;
}

} // namespace crosslink
