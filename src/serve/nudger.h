// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"

#include <mutex>

namespace crosslink
{

/// Lets one duty nudge another that may not be there yet, or not any more.
class Nudger
{
public:
    /// Sets the duty that nudge() reaches; null for none.
    void set(Duty* duty)
    {
        const std::lock_guard lock(m_mutex);
        m_duty = duty;
    }

    void nudge()
    {
        const std::lock_guard lock(m_mutex);
        if (m_duty)
            m_duty->nudge();
    }

private:
    std::mutex m_mutex;
    Duty* m_duty = nullptr;
};

} // namespace crosslink
