// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"

#include <mutex>

namespace crosslink
{

/// Lets one duty wake another that may not exist yet, or no longer.
/// Thread-safe.
class DutyWaker
{
public:
    /// Sets the duty that wake() reaches; null for none.
    void set_duty(Duty* duty)
    {
        const std::lock_guard lock(m_mutex);
        m_duty = duty;
    }

    /// Wakes the duty; does nothing where there is none.
    void wake()
    {
        const std::lock_guard lock(m_mutex);
        if (m_duty)
            m_duty->wake();
    }

private:
    std::mutex m_mutex;
    Duty* m_duty = nullptr;
};

} // namespace crosslink
