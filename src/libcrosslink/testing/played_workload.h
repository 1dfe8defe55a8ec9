// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "played_fleet.h"

#include <chrono>
#include <vector>

namespace crosslink::testing
{

/// 26 instances before 140 engines, whose stores are as busy as they can be.
inline PlayedFleet
many_engines()
{
    PlayedFleet fleet;
    fleet.engines = 140;
    fleet.instances = 26;
    fleet.zones = 3;
    fleet.told_ms = 200;
    fleet.speed = 1.45;
    fleet.memory = 43'416;
    fleet.home_instances = 3;
    fleet.stores = 26;
    fleet.store_tokens_per_ms = 100;
    return fleet;
}

/// Callers that keep those engines busy: small urgent prompts and large ones,
/// each with two shared parts or one. The sizes are those of the second
/// workload of docs/design/overload.md.
inline std::vector<PlayedKind>
kinds_of_many_engines()
{
    PlayedKind small;
    small.per_second = 222;
    small.resident = small.to_read = 177;
    small.to_make = 42;
    small.objective = std::chrono::milliseconds(400);
    small.deadline = std::chrono::milliseconds(4000);
    small.parts = {{650, 12, 0}};
    PlayedKind large;
    large.per_second = 443;
    large.priority = 1;
    large.resident = large.to_read = 1670;
    large.to_make = 7;
    large.objective = std::chrono::milliseconds(600);
    large.deadline = std::chrono::milliseconds(6000);
    large.parts = {{2520, 12, 0}, {5000, 6040, 0.5}};
    return {small, large};
}

} // namespace crosslink::testing
