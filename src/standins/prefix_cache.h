// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <adapters/clock.h>
#include <crosslink/base/digest.h>
#include <crosslink/ports/engine.h>

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace crosslink::standins
{

/// An engine's prefix cache: least recently used blocks go first; every change
/// becomes an event that can be read after a lag. Not safe for threads.
class PrefixCache
{
public:
    PrefixCache(std::uint64_t most_blocks, Micros event_lag)
        : m_most_blocks(most_blocks), m_event_lag(event_lag)
    {
    }

    /// Returns how many of `keys`, from the first on, are cached.
    std::size_t prefix(std::span<const Digest> keys)
    {
        std::size_t count = 0;
        while (count < keys.size() && touch(keys[count]))
            ++count;
        return count;
    }

    bool contains(const Digest& key) const { return m_places.contains(key); }

    /// Stores the blocks of one prompt. Its last block becomes the first to
    /// go, as engines free a prompt from its end: a prefix stays useful.
    void store(std::span<const Digest> keys)
    {
        for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
            if (touch(*key))
                continue;
            m_order.push_back(*key);
            m_places[*key] = std::prev(m_order.end());
            event(*key, true);
        }
        while (m_places.size() > m_most_blocks)
            drop(m_order.front());
    }

    void clear()
    {
        while (!m_order.empty())
            drop(m_order.front());
    }

    std::vector<Digest> keys() const
    {
        return {m_order.begin(), m_order.end()};
    }

    /// Returns the events after `sequence` that are old enough to be told.
    std::vector<CacheEvent> events_after(std::uint64_t sequence) const
    {
        const TimePoint old = monotonic_now() - m_event_lag;
        std::vector<CacheEvent> result;
        for (const Timed& timed : m_events)
            if (timed.event.sequence > sequence && timed.at <= old)
                result.push_back(timed.event);
        return result;
    }

    /// Fault: events told from now on skip those made so far.
    void lose_events() { m_events.clear(); }
    std::uint64_t last_event() const { return m_sequence; }

private:
    static constexpr std::size_t most_events = 4096;

    struct Timed {
        CacheEvent event;
        TimePoint at;
    };

    bool touch(const Digest& key)
    {
        const auto found = m_places.find(key);
        if (found == m_places.end())
            return false;
        m_order.splice(m_order.end(), m_order, found->second);
        return true;
    }

    void drop(Digest key)
    {
        const auto found = m_places.find(key);
        m_order.erase(found->second);
        m_places.erase(found);
        event(key, false);
    }

    void event(const Digest& key, bool stored)
    {
        m_events.push_back({{++m_sequence, key, stored}, monotonic_now()});
        if (m_events.size() > most_events)
            m_events.erase(m_events.begin());
    }

    const std::uint64_t m_most_blocks;
    const Micros m_event_lag;
    std::list<Digest> m_order;
    std::unordered_map<Digest, std::list<Digest>::iterator> m_places;
    std::vector<Timed> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace crosslink::standins
