// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <mutex>
#include <utility>

namespace crosslink
{

/// A value with a mutex, for several threads. The state machines of the core
/// library do no locking; this class makes them safe to share.
template<typename Value> class Guarded
{
public:
    template<typename... Arguments>
    explicit Guarded(Arguments&&... arguments)
        : m_value(std::forward<Arguments>(arguments)...)
    {
    }

    /// Calls `use` with the value while holding the lock, and returns the
    /// result. `use` must be short and do no input or output.
    template<typename Use> auto with(Use&& use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_value);
    }

private:
    std::mutex m_mutex;
    Value m_value;
};

} // namespace crosslink
