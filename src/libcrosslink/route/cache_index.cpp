// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/route/cache_index.h>

namespace crosslink
{

void
CacheIndex::set_capacity(std::size_t max_keys)
{
    m_max_keys = max_keys;
    shrink();
}

void
CacheIndex::shrink()
{
    while (m_positions.size() > m_max_keys) {
        m_positions.erase(m_order.front());
        m_order.pop_front();
    }
}

void
CacheIndex::add(std::uint64_t key)
{
    if (m_positions.contains(key))
        return;
    m_order.push_back(key);
    m_positions.emplace(key, std::prev(m_order.end()));
    shrink();
}

void
CacheIndex::remove(std::uint64_t key)
{
    const auto found = m_positions.find(key);
    if (found == m_positions.end())
        return;
    m_order.erase(found->second);
    m_positions.erase(found);
}

bool
CacheIndex::apply(std::span<const CacheEvent> events)
{
    for (const CacheEvent& event : events) {
        if (event.sequence <= m_sequence)
            continue;
        if (event.sequence != m_sequence + 1)
            return false;
        m_sequence = event.sequence;
        if (event.stored)
            add(event.key.prefix());
        else
            remove(event.key.prefix());
    }
    return true;
}

void
CacheIndex::resync(std::span<const Digest> keys, std::uint64_t sequence)
{
    clear();
    m_sequence = sequence;
    expect(keys);
}

void
CacheIndex::expect(std::span<const Digest> keys)
{
    // Adds the last block first, so that it is removed first: where there is no
    // room for a whole prompt, its beginning is the part worth keeping.
    for (auto key = keys.rbegin(); key != keys.rend(); ++key)
        add(key->prefix());
}

std::size_t
CacheIndex::prefix(std::span<const Digest> keys) const
{
    std::size_t count = 0;
    while (count < keys.size() && m_positions.contains(keys[count].prefix()))
        ++count;
    return count;
}

void
CacheIndex::clear()
{
    m_sequence = 0;
    m_order.clear();
    m_positions.clear();
}

} // namespace crosslink
