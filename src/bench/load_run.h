// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "load_plan.h"

#include <crosslink/base/json.h>

#include <string>
#include <vector>

namespace crosslink::bench
{

/// Where the load goes and how it is checked.
struct LoadTargets {
    std::vector<std::string> addresses; ///< Entry instances.
    std::string model = "andes-7b";
    std::string version = "v1"; ///< Weights that the answers must come from.
    std::uint32_t threads = 128;
    std::uint32_t tokens = 8;
    /// Talk to an engine stand-in itself, to see what an instance adds.
    bool direct = false;
    std::uint32_t retries = 3; ///< Of a caller that was told to come back.
};

/// Returns the API key of account number `account`: "key-<n>".
std::string key_of(std::uint32_t account);

/// Sends the planned requests when they are due, on as many threads as it
/// needs up to the bound, and checks every answer. Times count from the moment
/// at which a request was due, so that waiting is not hidden. Returns the
/// figures as JSON.
Json::Value run_load(const std::vector<PlannedRequest>& plan,
                     const LoadTargets& targets);

} // namespace crosslink::bench
