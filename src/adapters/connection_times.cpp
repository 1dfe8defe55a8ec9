// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "connection_times.h"

#include <utility>

namespace crosslink
{

ConnectionTimes::ConnectionTimes(TimeLimits limits)
    : m_in_force{limits, std::make_shared<const ChangeSignal>()}
{
}

void
ConnectionTimes::change(const TimeLimits& limits)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_in_force.limits == limits)
            return;
        m_in_force.limits = limits;
    }
    wake();
}

void
ConnectionTimes::wake()
{
    auto next = std::make_shared<const ChangeSignal>();
    {
        const std::lock_guard lock(m_mutex);
        std::swap(m_in_force.changed, next);
    }
    next->raise();
}

ConnectionTimes::InForce
ConnectionTimes::in_force() const
{
    const std::lock_guard lock(m_mutex);
    return m_in_force;
}

} // namespace crosslink
