// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/rate_share.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Part of a warm-up limit that is given out; see the header.
constexpr double warm_up_part = 0.5;
/// Calls a second that a share should be worth: an instance that may send only
/// one waits a second for the next, however few calls the others send.
constexpr double min_warm_up_share = 2;
/// A runner counts the calls of each second. Calls are counted slightly longer
/// here, because network delays differ by as much.
constexpr Micros warm_up_window = std::chrono::milliseconds(1050);

/// Part of an advertised limit that is given out: calls bunch up on the
/// network.
constexpr double advertised_part = 0.95;
/// Calls a second that a runner gets however low its limit.
constexpr double min_rate = 0.2;

constexpr Micros settled_silence = std::chrono::seconds(3);
constexpr Micros max_silence = std::chrono::seconds(10);
/// Calls of all shares of which at least one should have been answered.
constexpr double expected_calls = 3;

double
usable_rate(double per_second)
{
    return std::max(per_second * advertised_part, min_rate);
}

} // namespace

RateShare
warm_up_share(double limit, std::size_t present)
{
    const double given = limit * warm_up_part;
    if (limit < 1)
        return {};
    const double wanted = std::clamp(given / min_warm_up_share, 1.0,
                                     static_cast<double>(present));
    RateShare share;
    share.instances = static_cast<std::size_t>(wanted);
    const double each = given / static_cast<double>(share.instances);
    share.calls = static_cast<std::size_t>(std::max(each, 1.0));
    share.window = warm_up_window;
    return share;
}

RateShare
advertised_limit_share(double per_second, std::size_t present)
{
    const double rate = usable_rate(per_second);
    // Each instance may send one call at the same moment: as many as the runner
    // accepts in a second, plus one.
    const double wanted =
        std::min(1 + per_second, static_cast<double>(present));
    RateShare share;
    share.instances = static_cast<std::size_t>(wanted);
    const double each = rate / static_cast<double>(share.instances);
    share.calls = static_cast<std::size_t>(std::max(each, 1.0));
    share.window = from_seconds(static_cast<double>(share.calls) / each);
    return share;
}

Micros
longest_silence(double per_second)
{
    const Micros answer_time =
        from_seconds(expected_calls / usable_rate(per_second));
    return std::min(settled_silence + answer_time, max_silence);
}

} // namespace crosslink
