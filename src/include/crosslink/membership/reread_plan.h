// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/store_position.h>

#include <cstddef>
#include <optional>
#include <random>

namespace crosslink
{

/// What decides how soon an instance reads all of the platform's data.
struct RereadRole {
    bool is_parent = false;    ///< Other instances poll this one.
    std::size_t instances = 1; ///< Of the fleet.
    std::size_t runners = 0;   ///< Of the fleet.
};

/// Decides when an instance reads all of the platform's data again, because the
/// platform no longer has the changes since the instance's position, or its
/// store was restored from a copy. That
/// happens to all instances at the same moment, and all of them together read
/// instances times runners. The holder of the duty reads at once, and the
/// others learn from it through the tree. An instance that learns nothing that
/// way reads at a random time within the span in which the platform can send
/// all to all; parents, which are few, within a part of it.
class RereadPlan
{
public:
    /// `random` are random bits, from which all random times are derived.
    explicit RereadPlan(std::uint64_t random);

    /// Records that the platform no longer has the changes since `position`.
    void history_lost(const StorePosition& position, const RereadRole& role,
                      TimePoint now);
    /// Returns whether the platform no longer has the changes since `position`.
    bool is_lost(const StorePosition& position) const
    {
        return m_lost == position;
    }
    /// Returns whether to read all at `now`, if `position` is still the last
    /// one that this instance knows. `has_duty` tells that it holds the duty.
    bool is_due(const StorePosition& position, bool has_duty,
                TimePoint now) const;
    /// Returns whether an instance without the duty is to leave the platform
    /// alone at `now`.
    bool must_wait(const StorePosition& position, TimePoint now) const;
    /// Records that this instance has read all.
    void read_all_done() { m_lost.reset(); }

private:
    std::mt19937_64 m_random;
    std::optional<StorePosition> m_lost; ///< The position that was lost last.
    TimePoint m_read_at{};
};

} // namespace crosslink
