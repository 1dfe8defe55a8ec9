// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "standin_server.h"

#include <cstdint>

namespace crosslink::standins
{

/// Sizes of the platform stand-in, as the brief gives them.
struct PlatformStandinSettings {
    StandinSettings common;
    double writes_per_second = 100;
    double reads_per_second = 2000;
    std::uint32_t list_lag_ms = 1000;    ///< Age of the list that is told.
    std::uint32_t list_expiry_ms = 5000; ///< Silence after which one is gone.
};

/// Runs the stand-in for the platform's key-value service and list until a
/// signal ends it.
void run_platform(const PlatformStandinSettings& settings);

} // namespace crosslink::standins
