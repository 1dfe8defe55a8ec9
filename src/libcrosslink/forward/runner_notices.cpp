// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_notices.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Maximum jitter that is added to a requested backoff, as the divisor of the
/// backoff and as a time.
constexpr int jitter_divisor = 8;
constexpr Micros max_jitter = std::chrono::seconds(1);

} // namespace

TimePoint
backoff_end(Micros backoff, TimePoint now, std::uint64_t random)
{
    constexpr std::uint64_t steps = 1000;
    const Micros longest = std::min(backoff / jitter_divisor, max_jitter);
    return now + backoff + longest * (random % steps) / steps;
}

} // namespace crosslink
