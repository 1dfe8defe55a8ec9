// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <condition_variable>
#include <mutex>

namespace crosslink
{

/// Wakes the threads that wait for something to be learned. A look every few
/// milliseconds by each of them took most of a machine of 0.12 cores, just
/// when it had to learn.
class LearnedSignal
{
public:
    /// Says that more is known than before.
    void notify()
    {
        {
            const std::lock_guard lock(m_mutex);
        }
        m_condition.notify_all();
    }
    /// Waits until `is_known` returns true, at most for `longest`. It is called
    /// under the lock of the signal, and may take others.
    template<typename IsKnown>
    void wait(Micros longest, const IsKnown& is_known)
    {
        if (longest.count() <= 0)
            return;
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, longest, is_known);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
};

} // namespace crosslink
