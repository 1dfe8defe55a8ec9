// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <limits>

namespace crosslink
{

/// Rate limit of a runner that advertises none, in calls a second.
inline constexpr double no_rate_limit = std::numeric_limits<double>::infinity();

} // namespace crosslink
