// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "standin_server.h"

#include <cstdint>

namespace crosslink::standins
{

/// Sizes of the store stand-in.
struct StoreStandinSettings {
    StandinSettings common;
    std::uint64_t memory_bytes = 1ULL << 30U;
    std::uint64_t disk_bytes = 8ULL << 30U;
    double memory_link_bytes_per_second = 2e9;
    double disk_link_bytes_per_second = 500e6;
    bool checks_generation = true; ///< Turns late writers away.
};

/// Runs the stand-in for a store of kept KV until a signal ends it.
void run_store(const StoreStandinSettings& settings);

} // namespace crosslink::standins
