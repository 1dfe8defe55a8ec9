// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "standin_server.h"

#include <cstdint>

namespace crosslink::standins
{

/// Sizes of the plain service stand-in.
struct PlainStandinSettings {
    StandinSettings common;
    std::string service = "bookings";
    std::uint32_t work_ms = 0; ///< Time that each call takes.
};

/// Runs a plain service that counts the runs of each idempotency key until a
/// signal ends it. GET /stats tells the counts.
void run_plain(const PlainStandinSettings& settings);

} // namespace crosslink::standins
