// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/change_page.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace crosslink
{

/// The platform's store as this instance knows it, with the latest changes,
/// from which other instances learn them. The state never goes back: changes
/// that do not continue from its position are rejected, and so is a snapshot of
/// an earlier position. The first snapshot of a later era replaces the state,
/// whatever its revision.
class ChangeLog
{
public:
    /// Applies a page. Returns false, and changes nothing, where the page does
    /// not continue from position() or is older than the known state.
    bool apply(const ChangePage& page);
    /// Returns what changes where `snapshot` replaces the state: the entries
    /// that differ, and the keys that it does not have as removed.
    ChangePage differences(const ChangePage& snapshot) const;
    /// Returns the state of `keys`; a key that is not there as removed.
    ChangePage state_of(const std::set<std::string>& keys) const;
    /// Returns the position up to which the state is complete; nothing before
    /// the first snapshot.
    std::optional<StorePosition> position() const { return m_position; }
    /// Returns what follows the position `after`: the changes where they are
    /// still remembered, otherwise a snapshot. The page has no entries where
    /// nothing is known, or where `after` is ahead of this log. A log at
    /// `after` rejects the page where that is of a later era.
    ChangePage since(std::optional<StorePosition> after) const;
    /// Returns whether since() returns a snapshot, as far as anything is known.
    bool needs_snapshot(std::optional<StorePosition> after) const
    {
        return m_position && (!after || *after < m_history_start);
    }
    /// Returns the number of keys.
    std::size_t size() const { return m_state.size(); }

private:
    void apply_snapshot(const ChangePage& page);
    ChangePage snapshot() const;

    std::optional<StorePosition> m_position;
    /// Changes after this position are remembered.
    StorePosition m_history_start;
    /// Of the era of m_position, ordered by revision.
    std::deque<KeyChange> m_changes;
    std::map<std::string, KeyChange> m_state;
};

} // namespace crosslink
