// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/ports/engine.h>

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace crosslink
{

/// The estimated content of one engine's prefix cache, from its events, which
/// arrive late. It may be wrong: an engine computes the blocks that it turns
/// out not to have.
class CacheIndex
{
public:
    /// Sets the maximum number of keys; the oldest are removed first.
    void set_capacity(std::size_t max_keys);
    /// Applies `events`. Returns false at a gap in the sequence numbers: the
    /// caller must then call resync(). Repeated events are ignored.
    bool apply(std::span<const CacheEvent> events);
    /// Replaces the content by the engine's own listing, as of `sequence`.
    void resync(std::span<const Digest> keys, std::uint64_t sequence);
    /// Adds blocks that a run has just computed, before their events arrive.
    void expect(std::span<const Digest> keys);
    /// Returns how many of `keys`, counted from the first, are expected to be
    /// cached.
    std::size_t prefix(std::span<const Digest> keys) const;
    /// Returns the sequence number of the newest applied event.
    std::uint64_t sequence() const { return m_sequence; }
    std::size_t size() const { return m_positions.size(); }
    /// Removes all keys and restarts the sequence, for an engine that
    /// restarted.
    void clear();

private:
    void add(std::uint64_t key);
    void remove(std::uint64_t key);

    void shrink();

    static constexpr std::size_t default_max_keys = 20'000;

    std::size_t m_max_keys = default_max_keys;
    std::uint64_t m_sequence = 0;
    /// Keys are stored as their first eight bytes: a collision only makes the
    /// estimate wrong, which is allowed.
    std::list<std::uint64_t> m_order; ///< Oldest first, for eviction.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_positions;
};

} // namespace crosslink
