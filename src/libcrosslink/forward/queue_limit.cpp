// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/queue_limit.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Part of the objective that a call may be expected to wait: expectations are
/// off by half.
constexpr double waiting_part = 0.6;
/// Least time after which a caller may come back.
constexpr Micros least_return = std::chrono::milliseconds(250);

} // namespace

std::optional<Micros>
QueueLimit::refusal(const QueuedCall& call, std::uint64_t random)
{
    const Micros allowed = std::max(
        std::chrono::duration_cast<Micros>(call.objective * waiting_part) -
            call.waited,
        Micros{0});
    const Micros excess = call.expected_wait + call.own_time - allowed;
    if (excess.count() <= 0)
        return std::nullopt;
    constexpr std::uint64_t steps = 1000;
    const double spread =
        1 + static_cast<double>(random % steps) / static_cast<double>(steps);
    return std::max(least_return,
                    std::chrono::duration_cast<Micros>(excess * spread));
}

} // namespace crosslink
