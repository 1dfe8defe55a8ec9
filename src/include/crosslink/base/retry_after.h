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

/// Parses a Retry-After field (RFC 9110, 10.2.3) in seconds, which may have a
/// fraction. Returns at most a day; nothing for a malformed field, and for a
/// date, since the clocks of machines differ by seconds.
inline std::optional<Micros>
retry_after_time(std::string_view text)
{
    constexpr double max_seconds = 24 * 3600;
    const auto value = decimal_number(trim_spaces(text));
    if (!value)
        return std::nullopt;
    return from_seconds(std::min(*value, max_seconds));
}

} // namespace crosslink
