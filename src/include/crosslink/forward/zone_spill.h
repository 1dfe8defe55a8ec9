// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <map>
#include <string_view>

namespace crosslink
{

/// Which calls of a zone that is short of capacity go to another zone. Answers
/// demand that differs by zone and moves faster than capacity can. Instances
/// learn the waits 0.2 to 0.5 s late and all alike. If each took the cheapest
/// zone, all would move at once, and back when they see the result. Therefore a
/// part of the calls goes that grows with the difference of the waits: it
/// settles where the difference just sustains it.
class ZoneSpill
{
public:
    /// Mean expected wait at the runners of each zone, in milliseconds, with
    /// what a call loses by running there.
    using Costs = std::map<std::string_view, double>;

    /// Returns the zone that a call of `zone` goes to, by `random` bits: `zone`
    /// itself if no other one is clearly cheaper, or if its cost is not known.
    static std::string_view choose(std::string_view zone, const Costs& costs,
                                   std::uint64_t random);
};

} // namespace crosslink
