// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/change_page.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace crosslink
{

/// The platform's store as this instance knows it, with the latest changes,
/// from which other instances learn them. The state never goes back: a page
/// that does not continue at its revision is rejected.
class ChangeLog
{
public:
    /// Applies a page. Returns false, and changes nothing, where the page does
    /// not continue at revision() or is older than the known state.
    bool apply(const ChangePage& page);
    /// Returns the revision up to which the state is complete; nothing before
    /// the first snapshot.
    std::optional<std::uint64_t> revision() const { return m_place; }
    /// Returns what follows `revision`: the changes where they are still
    /// remembered, otherwise a snapshot. The page has no entries where nothing
    /// is known, or where `revision` is ahead of this log.
    ChangePage since(std::optional<std::uint64_t> place) const;

private:
    void take_whole(const ChangePage& page);
    ChangePage whole() const;

    std::optional<std::uint64_t> m_place;
    std::uint64_t m_first = 0; ///< Changes after this revision are remembered.
    std::deque<KeyChange> m_changes; ///< Ordered by revision.
    std::map<std::string, KeyChange> m_known;
};

} // namespace crosslink
