// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <condition_variable>
#include <mutex>

namespace crosslink
{

/// Wakes the threads that wait until this instance learns of something. If each
/// of them polled every few milliseconds instead, they would take most of a
/// machine of 0.12 cores, just when it has to process what they wait for.
class LearnedSignal
{
public:
    /// Makes the waiting threads check their conditions again.
    void notify()
    {
        {
            const std::lock_guard lock(m_mutex);
        }
        m_condition.notify_all();
    }
    /// Waits until `is_known` returns true, at most for `longest`. `is_known`
    /// is called with the mutex of this object locked, and may lock others.
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
