// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/store_position.h>

#include <cstdint>

namespace crosslink
{

/// Bits of a fencing token that hold the revision; the era takes the rest. Up
/// to era 8191, tokens are exact as JSON numbers of readers that use doubles.
inline constexpr int token_revision_bits = 40;

/// Returns the fencing token of a duty that was taken by a write at `position`.
/// It is higher than that of every earlier holder, also of holders in an
/// earlier era with a higher revision. In era 0 it is the bare revision, so
/// that runners that saw such tokens accept those of any later era. The
/// revision has to be below 2^40.
constexpr std::uint64_t
fencing_token(const StorePosition& position)
{
    return (position.era << token_revision_bits) + position.revision;
}

} // namespace crosslink
