// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <atomic>
#include <cstdint>

namespace crosslink
{

/// Bounds the bytes of bodies that an instance holds for all of its calls
/// together, so that callers and runners that read slowly cannot use up its
/// memory. Thread-safe.
class BodyBudget
{
public:
    /// `limit` is in bytes.
    explicit BodyBudget(std::uint64_t limit) : m_limit(limit) {}

    /// Takes `bytes` out of the budget. Returns false, and takes nothing, if
    /// fewer are left.
    bool take(std::uint64_t bytes);
    /// Returns `bytes` that were taken.
    void give_back(std::uint64_t bytes);

    /// Returns the bytes that are taken now.
    std::uint64_t held() const { return m_held; }
    /// Returns the greatest value of held() so far.
    std::uint64_t peak() const { return m_peak; }

private:
    const std::uint64_t m_limit;
    std::atomic<std::uint64_t> m_held{0};
    std::atomic<std::uint64_t> m_peak{0};
};

/// What one call has taken out of a budget; returned with the object.
class HeldBytes
{
public:
    explicit HeldBytes(BodyBudget& budget) : m_budget(budget) {}
    ~HeldBytes() { m_budget.give_back(m_bytes); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    /// Takes `bytes` more. Returns false if the budget has fewer.
    bool add(std::uint64_t bytes)
    {
        const bool taken = m_budget.take(bytes);
        m_bytes += taken ? bytes : 0;
        return taken;
    }

private:
    BodyBudget& m_budget;
    std::uint64_t m_bytes = 0;
};

} // namespace crosslink
