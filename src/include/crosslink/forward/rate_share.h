// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>

namespace crosslink
{

/// How the calls to one runner that bears only so many are divided among
/// instances. Instances know each other's calls only as they were 0.2 s ago, so
/// that all of them would send at once where it has room. A few instances have
/// a share each, so that no word between them is needed; equal shares of all
/// instances of a large fleet would be less than a call each.
struct RateShare {
    std::size_t instances = 0; ///< That send to it, the first by rendezvous.
    std::size_t calls = 0;     ///< That each of them may send in a window.
    Micros window{0};
};

/// Returns how `limit`, the calls that the whole fleet may send to a runner in
/// any second while it warms up, is divided where `present` instances (at least
/// 1) stand near it. Answers many runners that come back together, idle and
/// cold. Half of the limit is given out, so that it holds where a cut lets
/// twice as many instances take themselves for those few.
RateShare warm_up_share(double limit, std::size_t present);

/// Returns how `per_second`, the calls that a runner in need takes by its own
/// word, are divided where `present` instances (at least 1) stand near it.
/// Nearly all of it is given out: the bound is a mean over seconds. However
/// little it takes, it gets a call now and then, whose answer tells whether the
/// limit still holds.
RateShare named_limit_share(double per_second, std::size_t present);

/// Returns how long nothing may be heard of a runner with that limit while its
/// shares are in use. After it, it is asked by the next call, and now and then
/// by instances without a share: those that have one may have no callers.
Micros longest_silence(double per_second);

} // namespace crosslink
