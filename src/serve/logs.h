// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>

namespace crosslink
{

/// The stream that log lines are written to.
enum class LogTarget { StandardError, StandardOutput };

/// Sets up the logging of this process. A dedicated thread writes the lines
/// from a bounded ring buffer; where that is full, the oldest lines are
/// dropped. With `json`, each line is one JSON object. `level` is the name of a
/// spdlog level.
void set_up_logs(LogTarget target, const std::string& level, bool json);

/// Returns once the lines that were logged are written, after a second at the
/// latest. Threads may go on logging, which spdlog::shutdown() does not allow:
/// it takes the logger away from them.
void write_waiting_logs();

} // namespace crosslink
