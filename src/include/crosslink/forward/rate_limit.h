// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <limits>

namespace crosslink
{

/// What a runner takes that names no limit, in calls a second.
inline constexpr double no_rate_limit = std::numeric_limits<double>::infinity();

} // namespace crosslink
