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

/// The latest changes of the parts that the directory reports as stored,
/// numbered from 1 on. The replicas in the instances are updated from them.
class KeptHistory
{
public:
    /// Adds a change. The oldest one is dropped where there are too many.
    void add(KeptEntry change);
    /// Returns the number of the newest change; 0 before the first.
    std::uint64_t place() const { return m_place; }
    /// Returns the changes after the number `place`, oldest first; nothing
    /// where some of them were dropped, or where `place` is above that of the
    /// newest change.
    std::optional<std::vector<KeptEntry>> since(std::uint64_t place) const;

private:
    std::deque<KeptEntry> m_changes;
    std::uint64_t m_place = 0;
};

} // namespace crosslink
