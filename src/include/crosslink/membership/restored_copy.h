// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/change_page.h>

#include <set>
#include <span>
#include <string>

namespace crosslink
{

/// The keys that the platform's store has otherwise than before, since it came
/// back from a copy of an earlier moment. What is known of them is newer than
/// the copy, and their writers write them again. What has not been written
/// after a time holds as the copy has it.
class RestoredCopy
{
public:
    /// Adds the keys of `differences`, and starts the time anew.
    void begin(std::span<const KeyChange> differences, TimePoint now);
    /// Removes the keys that were written since.
    void written(std::span<const KeyChange> changes);
    /// Returns whether some keys wait for their writers.
    bool is_pending() const { return !m_keys.empty(); }
    /// Returns the keys that no longer wait for their writers at `now`, and
    /// forgets them.
    std::set<std::string> take_due(TimePoint now);

private:
    std::set<std::string> m_keys;
    TimePoint m_due_at{};
};

} // namespace crosslink
