// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/start_wait.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// An instance that has learned nothing by then is cut off, and waiting longer
/// would delay callers for nothing.
constexpr Micros start_time = std::chrono::milliseconds(1500);
/// The configuration is read in 0.1 to 0.3 s on machines of 0.12 cores.
constexpr Micros configuration_wait = std::chrono::milliseconds(400);

Micros
remaining_start_time(Micros since_start)
{
    return std::max(start_time - since_start, Micros{0});
}

} // namespace

Micros
wait_for_configuration(Micros since_start)
{
    return std::min(remaining_start_time(since_start), configuration_wait);
}

} // namespace crosslink
