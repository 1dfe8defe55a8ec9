// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace crosslink
{

/// A first-in first-out ring buffer of fixed capacity between two threads. A
/// full ring rejects an item at once rather than growing. A closed one rejects
/// further items and still returns those that wait.
template<typename T> class BoundedRing
{
public:
    /// `capacity` is the largest number of waiting items; at least 1.
    explicit BoundedRing(std::size_t capacity) : m_capacity(capacity) {}

    /// Appends `item`. Returns false when the ring is full or closed.
    bool push(T item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity)
                return false;
            m_items.push_back(std::move(item));
        }
        m_changed.notify_one();
        return true;
    }

    /// Waits for an item. Returns nothing once the ring is closed and empty.
    std::optional<T> pop()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return pop_locked();
    }

    /// Waits for an item for at most `wait`. Returns nothing where none
    /// arrived.
    template<typename Duration> std::optional<T> pop_for(Duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait,
                           [this] { return m_closed || !m_items.empty(); });
        return pop_locked();
    }

    /// Returns whether the ring is closed and empty.
    bool ended()
    {
        const std::lock_guard lock(m_mutex);
        return m_closed && m_items.empty();
    }

    /// Removes and returns the first item; nothing where the ring is empty.
    std::optional<T> try_pop()
    {
        const std::lock_guard lock(m_mutex);
        return pop_locked();
    }

    /// Rejects further items; pop() returns nothing once the ring is empty.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_all();
    }

private:
    /// As try_pop(), with the mutex held by the caller.
    std::optional<T> pop_locked()
    {
        if (m_items.empty())
            return std::nullopt;
        T item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

    const std::size_t m_capacity;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<T> m_items;
    bool m_closed = false;
};

} // namespace crosslink
