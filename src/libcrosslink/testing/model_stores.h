// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "prefix_cache.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crosslink::testing
{

/// Stores that keep each part once some engine has read it, each behind a link
/// that serves one fetch after the other.
class ModelStores
{
public:
    /// What the engines had to read.
    struct Tally {
        double first = 0; ///< Tokens that none had read before.
        double again = 0; ///< Tokens of shared parts that one had read before.
        double own = 0;   ///< Tokens of no shared part.
        double fetched = 0;
        double in_memory = 0;

        /// Returns the share of what was read again in all that was read.
        double again_share() const { return again / (first + again + own); }
    };

    ModelStores(std::size_t stores, double tokens_per_ms)
        : m_tokens_per_ms(tokens_per_ms), m_free_at(stores, 0)
    {
    }

    /// Returns whether a part can be fetched at `now_ms`: it has been saved,
    /// and its store is not behind.
    bool offers(const EnginePart& part, double now_ms) const
    {
        if (m_free_at.empty())
            return false;
        const auto found = m_saved_at.find(part.id);
        return found != m_saved_at.end() && found->second <= now_ms &&
               m_free_at[store_of(part.id)] <= now_ms + slow_ms;
    }

    /// Brings a part that an engine does not have. Returns when it is fetched;
    /// nothing if the engine must read it.
    std::optional<double> bring(const EnginePart& part, double now_ms)
    {
        if (!offers(part, now_ms)) {
            read(part, now_ms);
            return std::nullopt;
        }
        double& free_at = m_free_at[store_of(part.id)];
        free_at = std::max(free_at, now_ms) + fetch_ms(part);
        tally.fetched += part.tokens;
        return free_at;
    }

    double fetch_ms(const EnginePart& part) const
    {
        return part.tokens / m_tokens_per_ms;
    }

    std::size_t store_of(std::uint64_t id) const
    {
        return id % m_free_at.size();
    }

    Tally tally;

private:
    /// A store that is behind by more is passed over: a third of an objective
    /// of 600 ms.
    static constexpr double slow_ms = 200;
    /// From the time at which a part is read until it is saved.
    static constexpr double save_ms = 1000;

    void read(const EnginePart& part, double now_ms)
    {
        const bool first = m_saved_at.emplace(part.id, now_ms + save_ms).second;
        (first ? tally.first : tally.again) += part.tokens;
    }

    const double m_tokens_per_ms;
    std::vector<double> m_free_at;              ///< Of each store's link.
    std::map<std::uint64_t, double> m_saved_at; ///< By part.
};

} // namespace crosslink::testing
