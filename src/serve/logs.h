// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>

namespace crosslink
{

/// Where log lines go.
enum class LogTarget { StandardError, StandardOutput };

/// Sets up the logs of this process: lines go through a bounded ring to a
/// thread of their own, and the oldest are dropped where it is full. With
/// `json`, each line is one JSON object. `level` is a level of spdlog.
void set_up_logs(LogTarget target, const std::string& level, bool json);

} // namespace crosslink
