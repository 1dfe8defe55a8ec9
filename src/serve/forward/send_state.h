// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "runner_connector.h"

#include <crosslink/base/time.h>
#include <crosslink/ports/call_wire.h>

#include <optional>

namespace crosslink
{

/// The state of one send of a call to a runner.
struct SendState {
    RunnerLink link; ///< Without connection after its end.
    /// Of the current runner; nothing before the first send to it.
    std::optional<SendOptions> options;
    TimePoint sent_at{};
    /// See RunnerTable::await(); nothing once it is known how that ended.
    std::optional<TimePoint> answer_due;
    /// When the runner's silence leads to a look at this instance's path;
    /// nothing once it has answered.
    std::optional<TimePoint> path_check_at;
    /// When a reused connection counts as silent; nothing once it has answered.
    std::optional<TimePoint> silent_at;
    bool suspects = false; ///< A probe of the path was asked for.
    bool counted = false;
    /// See match_answer(); false once an answer has come.
    bool only_call = false;
};

} // namespace crosslink
