// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

namespace crosslink
{

/// Returns how long a call may wait for the configuration in an instance that
/// started `since_start` ago. Answers callers that come back at once after a
/// loss of all instances: refused, they would be away for longer than the
/// reading takes, 0.1 to 0.3 s on machines of 0.12 cores. 60 calls were refused
/// so after the loss of 71 instances. They do not wait for the directory of
/// kept parts: all that waited were sent at the moment in which it came.
Micros wait_for_configuration(Micros since_start);

} // namespace crosslink
