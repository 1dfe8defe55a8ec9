// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <mutex>
#include <utility>

namespace crosslink
{

/// A value that several threads use under one lock. The core's state machines
/// are plain values; this is what makes them safe to share.
template<typename Value> class Guarded
{
public:
    template<typename... Arguments>
    explicit Guarded(Arguments&&... arguments)
        : m_value(std::forward<Arguments>(arguments)...)
    {
    }

    /// Calls `use` with the value under the lock and returns its result. `use`
    /// must be short: no input or output.
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
