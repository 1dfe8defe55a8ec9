// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/change_page.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace crosslink
{

/// The platform's store as this instance knows it, with the latest changes,
/// from which other instances learn them. The state never goes back: changes
/// that do not continue from its revision are rejected.
class ChangeLog
{
public:
    /// Applies a page. Returns false, and changes nothing, where the page does
    /// not continue from revision() or is older than the known state.
    bool apply(const ChangePage& page);
    /// Returns the revision up to which the state is complete; nothing before
    /// the first snapshot.
    std::optional<std::uint64_t> revision() const { return m_revision; }
    /// Returns what follows revision `after`: the changes where they are still
    /// remembered, otherwise a snapshot. The page has no entries where nothing
    /// is known, or where `after` is ahead of this log.
    ChangePage since(std::optional<std::uint64_t> after) const;
    /// Returns whether since() returns a snapshot, as far as anything is known.
    bool needs_snapshot(std::optional<std::uint64_t> after) const
    {
        return m_revision && (!after || *after < m_history_start);
    }
    /// Returns the number of keys.
    std::size_t size() const { return m_state.size(); }

private:
    void apply_snapshot(const ChangePage& page);
    ChangePage snapshot() const;

    std::optional<std::uint64_t> m_revision;
    /// Changes after this revision are remembered.
    std::uint64_t m_history_start = 0;
    std::deque<KeyChange> m_changes; ///< Ordered by revision.
    std::map<std::string, KeyChange> m_state;
};

} // namespace crosslink
