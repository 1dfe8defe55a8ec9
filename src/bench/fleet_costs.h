// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>

#include <cstddef>

namespace crosslink::bench
{

/// The size of a fleet. Every runner in `busy_one_in` has a call.
struct FleetSize {
    std::size_t instances = 985;
    std::size_t strong_one_in = 20; ///< Instances with strong links.
    std::size_t runners = 9773;
    std::size_t zones = 5;
    std::size_t busy_one_in = 16;
};

/// Measures what one instance of such a fleet does again and again, by the
/// product's own code, without input or output. Times are of one whole core.
/// Members are named with their units.
Json::Value measure_fleet(const FleetSize& size);

} // namespace crosslink::bench
