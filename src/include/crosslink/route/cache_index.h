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

/// What is believed of one engine's prefix cache, from its late events. It is
/// a belief only: the engine computes what it turns out not to have.
class CacheIndex
{
public:
    /// Sets how many keys may be remembered; the oldest go first.
    void set_capacity(std::size_t most_keys);
    /// Takes `events` in. Returns false where a sequence number was jumped:
    /// then resync() is due. Doubled events are passed over.
    bool apply(std::span<const CacheEvent> events);
    /// Replaces the belief by the engine's own listing, as of `sequence`.
    void resync(std::span<const Digest> keys, std::uint64_t sequence);
    /// Adds blocks that a run just made; their event comes later.
    void expect(std::span<const Digest> keys);
    /// Returns how many of `keys`, from the first on, are believed cached.
    std::size_t prefix(std::span<const Digest> keys) const;
    /// Returns the number of the newest event taken in.
    std::uint64_t sequence() const { return m_sequence; }
    std::size_t size() const { return m_places.size(); }
    /// Forgets everything, for an engine that started anew.
    void clear();

private:
    void add(std::uint64_t key);
    void remove(std::uint64_t key);

    void shrink();

    static constexpr std::size_t most_keys_at_first = 20'000;

    std::size_t m_most_keys = most_keys_at_first;
    std::uint64_t m_sequence = 0;
    /// Keys by their first eight bytes: two that are the same there only make
    /// a belief wrong, and beliefs may be wrong.
    std::list<std::uint64_t> m_order; ///< Oldest first, to stay bounded.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_places;
};

} // namespace crosslink
