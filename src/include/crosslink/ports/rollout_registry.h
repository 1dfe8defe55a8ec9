// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <string_view>

namespace crosslink
{

/// The platform's record of named weights. It outlives all instances; those
/// that start learn from it how long replaced weights may still be used.
class RolloutRegistry
{
public:
    virtual ~RolloutRegistry() = default;

    /// Records `version` of `model` together with a marker that expires after
    /// `left` at the latest, in one write. Leaves the marker out if `left` is
    /// too short for a lease. Does nothing if the version is recorded already.
    /// Blocks, and throws Error with PlatformUnavailable, PlatformThrottled or
    /// PlatformOutcomeUnknown; it may be repeated after any of these.
    virtual void record(std::string_view model, std::uint64_t version,
                        Micros left) = 0;
};

} // namespace crosslink
