// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>

namespace crosslink
{

/// How the calls to one runner that warms up are divided among instances.
struct WarmUpShare {
    std::size_t instances = 0; ///< That send to it.
    std::size_t calls = 0;     ///< That each of them may send in a second.
};

/// Returns how `limit`, the calls that the whole fleet may send to a runner in
/// any second while it warms up, is divided where `present` instances (at least
/// 1) stand near it. Answers many runners that come back together, idle and
/// cold, before a fleet whose instances know each other's load only as it was
/// 0.2 s ago: all of them would send there at once. A few instances have a
/// share each, so that no word between them is needed; equal shares of all 71
/// instances of a fleet would be 0.3 calls a second each, which one call
/// exceeds. Half of the limit is given out, so that it holds where a cut lets
/// twice as many instances take themselves for those few.
WarmUpShare warm_up_share(double limit, std::size_t present);

} // namespace crosslink
