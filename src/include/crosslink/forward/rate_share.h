// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>

namespace crosslink
{

/// How the calls to a runner with a rate limit are divided among instances.
/// Instances know each other's calls only as of 0.2 s ago, so that all of them
/// would send at once when the runner has room. A few instances therefore have
/// a share each, which needs no communication. Equal shares for all instances
/// of a large fleet would be less than one call each.
struct RateShare {
    std::size_t instances = 0; ///< Number that send to it, by rendezvous.
    std::size_t calls = 0;     ///< Calls that each may send in a window.
    Micros window{0};
};

/// Returns how `limit`, the calls that the whole fleet may send to a runner in
/// any second while it warms up, is divided if `present` instances (at least 1)
/// are near it. This covers many runners that return together, idle and cold.
/// Only half of the limit is given out, so that it holds when a network
/// partition makes twice as many instances consider themselves entitled to a
/// share.
RateShare warm_up_share(double limit, std::size_t present);

/// Returns how `per_second`, the limit that an overloaded runner advertises, is
/// divided if `present` instances (at least 1) are near it. Nearly all of it is
/// given out, because the limit is a mean over seconds. However low the limit,
/// the runner gets an occasional call, whose answer tells whether the limit
/// still holds.
RateShare advertised_limit_share(double per_second, std::size_t present);

/// Returns how long a runner with that limit may go without an answer while its
/// shares are in use. After that, the next call is sent to it, and now and then
/// a call of an instance without a share, since the instances that have one may
/// have no callers.
Micros longest_silence(double per_second);

} // namespace crosslink
