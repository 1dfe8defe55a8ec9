// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

namespace crosslink
{

// A fresh instance learns the configuration and where prompts are kept within
// half a second. Answers the load after a loss of all instances: callers come
// back at once, and what they are told or cost in that time decides how the
// next seconds are.

/// Returns how long a call may wait for the configuration in an instance that
/// started `since_start` ago: refused, its caller would be away for longer than
/// the reading takes.
Micros wait_for_configuration(Micros since_start);

/// Returns how long a call with `objective` (to its first event; 0 for none)
/// may wait for the directory of kept parts in such an instance. Without it the
/// whole prompt is read. After a loss of all 71 instances 300 prompts were, in
/// the first half second, as much as 60 runners read in one, and all calls of
/// the next second came late or were refused.
Micros wait_for_directory(Micros since_start, Micros objective);

} // namespace crosslink
