// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crosslink::bench
{

/// What kind of load is made. All randomness comes from the seed.
struct LoadRules {
    std::uint64_t seed = 1;
    double requests_per_second = 20;
    double seconds = 10;
    std::uint32_t prompts = 40;          ///< Distinct prompts that return.
    std::uint32_t prompt_bytes = 20'000; ///< Mean length of a prompt.
    double new_share = 0.1;        ///< Requests with a prompt of their own.
    std::uint32_t accounts = 10;   ///< A few of them large.
    std::uint32_t tokens = 8;      ///< Tokens asked for.
    bool bursty = false;           ///< Arrivals in bursts of eight.
    std::uint32_t warm_rounds = 0; ///< Times each prompt comes before.
};

/// One request that is due.
struct PlannedRequest {
    Micros due{0}; ///< Since the start of the load.
    std::uint32_t account = 0;
    std::uint32_t target = 0; ///< Random; modulo the number of instances.
    std::string prompt;
    bool returning = false; ///< Its prompt came before.
    bool measured = true;   ///< False for the warm-up.
};

/// Returns the requests in the order in which they are due: open-loop Poisson
/// arrivals, prompts chosen by a long-tailed law.
std::vector<PlannedRequest> plan_load(const LoadRules& rules);

} // namespace crosslink::bench
