// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/kept/kept_replica.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace crosslink
{

/// The latest changes of what the directory tells as kept, numbered from 1 on,
/// so that the copies in the instances can follow.
class KeptHistory
{
public:
    /// Adds a change. The oldest is forgotten where there are too many.
    void add(KeptEntry change);
    /// Returns the number of the newest change; 0 before the first.
    std::uint64_t place() const { return m_place; }
    /// Returns the changes after `place`, oldest first; nothing where some of
    /// them are forgotten, or `place` was never reached.
    std::optional<std::vector<KeptEntry>> since(std::uint64_t place) const;

private:
    std::deque<KeptEntry> m_changes;
    std::uint64_t m_place = 0;
};

} // namespace crosslink
