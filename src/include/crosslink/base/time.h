// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>

namespace crosslink
{

/// The clock type of the core. It has no now(): the layer around the core
/// always passes the time in, so that a decision is a function of its inputs.
struct CoreClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// A point of a monotonic clock; only differences are meaningful.
using TimePoint = CoreClock::time_point;
/// A span of time in microseconds.
using Micros = std::chrono::microseconds;
/// Wall-clock time in milliseconds since the Unix epoch. Used for the age of
/// idempotency keys and for reports, never to order events.
using UnixMillis = std::uint64_t;

/// Returns `span` in seconds.
inline double
seconds(Micros span)
{
    return std::chrono::duration<double>(span).count();
}

/// Returns `value` seconds as Micros.
inline Micros
from_seconds(double value)
{
    return Micros(static_cast<Micros::rep>(value * 1e6));
}

/// Returns `span` in milliseconds.
inline double
in_milliseconds(Micros span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Returns `span` in whole milliseconds; 0 if it is negative.
inline std::uint64_t
whole_millis(Micros span)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

/// Returns the part of a value that is left after `age`, if half of it is left
/// after each `half_life`.
inline double
decay(Micros age, Micros half_life)
{
    return std::exp2(-seconds(age) / seconds(half_life));
}

} // namespace crosslink
