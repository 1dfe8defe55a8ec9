// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <time.h>

namespace crosslink
{

/// Returns the monotonic time for the core. It goes on while the machine is
/// suspended, which std::chrono::steady_clock does not: others count that time
/// against this instance's leases, and what it knows grows as old by it.
inline TimePoint
monotonic_now()
{
    timespec now{};
    // Can't fail: the clock exists, and the pointer is valid.
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since = std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Micros>(since));
}

/// Returns the wall-clock time.
inline UnixMillis
unix_now()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<UnixMillis>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace crosslink
