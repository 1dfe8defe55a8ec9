// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <compare>
#include <cstdint>

namespace crosslink
{

/// A position in the history of the platform's store. Within an era, revisions
/// grow with each change. When the store comes back from a copy of an earlier
/// moment, the next era begins: what was written after the copy is gone, and
/// its revisions are given out again. A position of a later era is therefore
/// later, whatever its revision.
struct StorePosition {
    std::uint64_t era = 0; ///< 0 where the store names none.
    std::uint64_t revision = 0;

    auto operator<=>(const StorePosition&) const = default;
};

} // namespace crosslink
