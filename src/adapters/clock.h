// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

namespace crosslink
{

/// Returns the monotonic time for the core.
inline TimePoint
monotonic_now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
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
