// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <algorithm>
#include <cstdint>

namespace crosslink
{

/// Pauses between attempts that many instances may make at the same time: each
/// doubles, up to a bound, and is random between half and the whole of that.
class Backoff
{
public:
    /// The first pause is at most `first`, and none is longer than `longest`.
    Backoff(Micros first, Micros longest)
        : m_first(first), m_longest(longest), m_next(first)
    {
    }

    /// Returns the pause before the next attempt; `random` are random bits.
    Micros next(std::uint64_t random)
    {
        const Micros whole = m_next;
        m_next = std::min(2 * m_next, m_longest);
        const auto half = static_cast<std::uint64_t>(whole.count() / 2);
        return whole / 2 +
               Micros(static_cast<Micros::rep>(random % (half + 1)));
    }
    /// Begins with the first pause again.
    void reset() { m_next = m_first; }

private:
    Micros m_first;
    Micros m_longest;
    Micros m_next;
};

} // namespace crosslink
