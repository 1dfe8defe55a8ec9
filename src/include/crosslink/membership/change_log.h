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

/// What an instance knows of the platform's store, and the latest changes, for
/// instances that learn them from it. It never goes back: a page that does not
/// go on where the log stands is not taken.
class ChangeLog
{
public:
    /// Takes in a page. Returns false, and changes nothing, where it does not
    /// go on from revision(), or is older than what is known.
    bool apply(const ChangePage& page);
    /// Returns the revision up to which all is known; nothing before the first
    /// whole page.
    std::optional<std::uint64_t> revision() const { return m_place; }
    /// Returns what follows `place`: the changes where they are remembered,
    /// else all there is. Without entries where nothing is known, or where
    /// `place` lies ahead of this log.
    ChangePage since(std::optional<std::uint64_t> place) const;

private:
    void take_whole(const ChangePage& page);
    ChangePage whole() const;

    std::optional<std::uint64_t> m_place;
    std::uint64_t m_first = 0;       ///< Changes after it are remembered.
    std::deque<KeyChange> m_changes; ///< In the order of their revisions.
    std::map<std::string, KeyChange> m_known;
};

} // namespace crosslink
