// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace crosslink
{

/// The headers with which an instance has another one pass a call on to a
/// runner. The call is otherwise sent as to the runner itself, to the port for
/// instances, and the runner's answer comes back in chunks.
namespace relay_wire
{

constexpr const char* runner = "Relay-Runner";   ///< Id of the runner.
constexpr const char* time_ms = "Relay-Time-Ms"; ///< Time left, in ms.
/// The call is to be sent on the other instance's share of the runner's
/// capacity, or not at all.
constexpr const char* share = "Relay-Share";
/// In an answer of the other instance itself: why there is none of the runner.
constexpr const char* failure = "Relay-Failure";
/// With RelayFailure::NoShare: the time until a place of the share may be free,
/// in ms.
constexpr const char* free_ms = "Relay-Free-Ms";

/// All of them; each stands at most once in a head.
constexpr std::array<std::string_view, 5> names{runner, time_ms, share, failure,
                                                free_ms};

/// Values of `share`: whether the call's account is within its fair share of
/// the runners with limits, or above it.
constexpr const char* within_fair_share = "within";
constexpr const char* above_fair_share = "above";

} // namespace relay_wire

/// Why an instance that was to pass a call on has no answer of the runner.
enum class RelayFailure {
    NoPath, ///< It may be out of reach of runners itself. Not sent.
    Busy,   ///< It passes on as many calls as it can. Not sent.
    /// It is out of reach of all runners of the service. Not sent.
    ServiceCut,
    /// The runner takes no connection of it, and it can't tell whether that is
    /// the runner's fault. It may reach others. Not sent.
    RunnerCut,
    Unreachable, ///< The runner takes no connection of it. Not sent.
    NoShare,     ///< Its share of the runner's capacity is used up. Not sent.
    Broken,      ///< The call was sent, and the connection broke.
};

/// Returns the value of relay_wire::failure for `failure`.
const char* relay_failure_name(RelayFailure failure);
/// Returns the failure with the name; Broken for an unknown one, as the call
/// may have run.
RelayFailure relay_failure_from(std::string_view name);

} // namespace crosslink
