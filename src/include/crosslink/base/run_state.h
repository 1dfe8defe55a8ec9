// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string_view>

namespace crosslink
{

/// What is known of a request that did not end with a complete answer. Only the
/// first two may be reported to a caller as "not run".
enum class RunState {
    NotDispatched,    ///< No byte of it was sent to an upstream.
    RefusedBeforeRun, ///< The upstream stated that it did not run it.
    MayHaveRun,       ///< Anything else: sent, and no complete answer received.
};

/// Returns the name used on the wire: "not_dispatched",
/// "refused_before_run" or "may_have_run".
std::string_view run_state_name(RunState state);

/// Returns true for the two states in which the request certainly did not run.
constexpr bool
is_not_run(RunState state)
{
    return state != RunState::MayHaveRun;
}

} // namespace crosslink
