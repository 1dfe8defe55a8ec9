// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <string_view>

namespace crosslink
{

/// The record of named weights at the platform. It outlasts all instances, and
/// tells those that start how long replaced weights may still be used.
class RolloutRegistry
{
public:
    virtual ~RolloutRegistry() = default;

    /// Records `version` of `model`, with a mark that goes by itself after
    /// `left` at the latest, both at once; without one where that is too short.
    /// Does nothing where the version is recorded already. Blocks, and throws
    /// Error with PlatformUnavailable, PlatformThrottled or
    /// PlatformOutcomeUnknown; it may be called again then.
    virtual void record(std::string_view model, std::uint64_t version,
                        Micros left) = 0;
};

} // namespace crosslink
