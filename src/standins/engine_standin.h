// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "standin_server.h"

#include <cstdint>

namespace crosslink::standins
{

/// Sizes of the engine stand-in.
struct EngineStandinSettings {
    StandinSettings common;
    std::string model = "andes-7b";
    std::string version = "v1";
    std::uint64_t cache_blocks = 64; ///< Size of the prefix cache.
    double prefill_tokens_per_second = 8000;
    std::uint32_t slots = 8;               ///< Runs that decode at once.
    std::uint32_t token_ms = 10;           ///< Time between two tokens.
    std::uint64_t block_bytes = 1U << 20U; ///< KV bytes of one block.
    std::uint32_t load_lag_ms = 200;       ///< Age of load reports.
    std::uint32_t event_lag_ms = 300;      ///< Age of cache events.
    bool checks_tokens = true;             ///< Fences its orders.
};

/// Runs the stand-in for a model engine until a signal ends it.
void run_engine(const EngineStandinSettings& settings);

} // namespace crosslink::standins
