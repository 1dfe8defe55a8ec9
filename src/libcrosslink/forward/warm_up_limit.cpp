// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/warm_up_limit.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Part of the limit that is given out; see the header.
constexpr double part_given = 0.5;
/// Calls in a second that a share should be worth: an instance that may send
/// only one waits a second for the next, however few the others send.
constexpr double least_share = 2;

} // namespace

WarmUpShare
warm_up_share(double limit, std::size_t present)
{
    const double given = limit * part_given;
    if (limit < 1)
        return {};
    const double wanted =
        std::clamp(given / least_share, 1.0, static_cast<double>(present));
    WarmUpShare share;
    share.instances = static_cast<std::size_t>(wanted);
    const double each = given / static_cast<double>(share.instances);
    share.calls = static_cast<std::size_t>(std::max(each, 1.0));
    return share;
}

} // namespace crosslink
