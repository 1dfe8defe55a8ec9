// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <list>
#include <map>

namespace crosslink::testing
{

/// A shared part of a prompt.
struct EnginePart {
    std::uint64_t id = 0;
    double tokens = 0;
};

/// The shared parts that a model engine has in its memory. Those that no call
/// uses make room for others, least recently used first.
class PrefixCache
{
public:
    /// Returns whether the part is in memory; it is then in use once more.
    bool use(std::uint64_t id)
    {
        const auto found = m_kept.find(id);
        if (found == m_kept.end())
            return false;
        if (found->second.uses++ == 0)
            m_unused.erase(found->second.place);
        return true;
    }

    /// Adds a part, in use once.
    void add(const EnginePart& part)
    {
        m_kept[part.id] = {part.tokens, 1, {}};
        m_tokens += part.tokens;
    }

    /// Ends one use of a part.
    void release(std::uint64_t id)
    {
        Kept& kept = m_kept.at(id);
        if (--kept.uses == 0)
            kept.place = m_unused.insert(m_unused.end(), id);
    }

    /// Removes unused parts until at most `tokens` are kept, or none is unused.
    void shrink(double tokens)
    {
        while (m_tokens > tokens && !m_unused.empty()) {
            const auto found = m_kept.find(m_unused.front());
            m_tokens -= found->second.tokens;
            m_kept.erase(found);
            m_unused.pop_front();
        }
    }

    bool contains(std::uint64_t id) const { return m_kept.contains(id); }
    /// Returns the tokens of all parts.
    double tokens() const { return m_tokens; }

private:
    struct Kept {
        double tokens = 0;
        int uses = 0;
        std::list<std::uint64_t>::iterator place; ///< If it is unused.
    };
    std::map<std::uint64_t, Kept> m_kept;
    std::list<std::uint64_t> m_unused; ///< Least recently used first.
    double m_tokens = 0;
};

} // namespace crosslink::testing
