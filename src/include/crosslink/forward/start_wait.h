// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

namespace crosslink
{

/// Returns how long a call may wait for the configuration at an instance that
/// started `since_start` ago. After a loss of all instances, callers return at
/// once. If they were refused, they would stay away for longer than it takes to
/// read the configuration, 0.1 to 0.3 s on machines of 0.12 cores. Calls do not
/// wait for the directory of kept parts: all of those that waited would be sent
/// at the moment when it arrives.
Micros wait_for_configuration(Micros since_start);

} // namespace crosslink
