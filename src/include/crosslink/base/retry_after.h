// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/number.h>
#include <crosslink/base/time.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace crosslink
{

/// Returns the time that a Retry-After field (RFC 9110, 10.2.3) names in
/// seconds, fractions included, and at most a day. Nothing for what can't be
/// read, and for a date: the clocks of machines differ by seconds.
inline std::optional<Micros>
retry_after_time(std::string_view text)
{
    constexpr double longest_s = 24 * 3600;
    const auto told = decimal_number(without_outer_spaces(text));
    if (!told)
        return std::nullopt;
    return from_seconds(std::min(*told, longest_s));
}

} // namespace crosslink
