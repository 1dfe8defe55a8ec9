// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "relay_wire.h"

#include <adapters/port_look.h>

#include <crosslink/forward/duty_placement.h>
#include <crosslink/forward/runner_place.h>

#include <optional>
#include <span>
#include <string>

namespace crosslink
{

struct ForwardState;
struct ListedRunner;

/// What a look at a runner found.
struct RunnerLook {
    ProcessFate fate = ProcessFate::Unknown;
    /// This instance does not reach the runner, and another one does.
    bool path_cut = false;
};

/// Looks whether a runner answers: directly, and through other instances where
/// it does not. A connection that is made is kept for the next call. Blocks for
/// up to 1.3 s.
RunnerLook look_at_runner(ForwardState& state, const RunnerPlace& place,
                          const std::string& address);

/// As above, where the port was just looked at directly, with the result
/// `direct`.
RunnerLook confirm_look(ForwardState& state, const RunnerPlace& place,
                        const std::string& address, PortLook direct);

/// Returns whether `runner` answers this instance on a new connection. A
/// connection alone is no proof: what stands between may accept it. It is kept
/// for the next call.
bool reaches_runner(ForwardState& state, const ListedRunner& runner);

/// Returns whether this instance reaches some runner other than `except`, so
/// that a failure to reach that one is not due to its own path.
bool reaches_others(ForwardState& state, const RunnerPlace& except);

/// Returns what this instance can tell another one of the runner at `place`,
/// which it failed to reach: at once where its path is known to be cut;
/// Unreachable only if it reaches other runners, and is cut off from none.
RelayFailure why_unreachable(ForwardState& state, const RunnerPlace& place);

/// Returns which of `runners` give a report to this instance, for another one.
/// A connection alone is no proof: what stands between may accept it. Blocks
/// for up to a second; the last ones count as not reached then.
DutyPlacement::PeerReach own_reach(ForwardState& state,
                                   std::span<const std::string> runners);

/// Looks at a listed runner directly, for another instance. Nothing if this
/// instance can't tell, because it may be out of reach of runners itself.
std::optional<ProcessFate> look_for_peer(ForwardState& state,
                                         const std::string& runner);

} // namespace crosslink
