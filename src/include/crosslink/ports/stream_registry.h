// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <span>
#include <vector>

namespace crosslink
{

struct StreamOrigin;

/// The platform's records of streams that callers may take up: one of each
/// process. They outlive all instances, so that a stream can go on after all of
/// them ended in one moment. Both calls block, and throw Error with
/// PlatformUnavailable, PlatformThrottled or PlatformOutcomeUnknown.
class StreamRegistry
{
public:
    virtual ~StreamRegistry() = default;

    /// Replaces the record of this process. It stays for
    /// StreamOrigins::lifetime after the last call, or longer.
    virtual void record(std::span<const StreamOrigin> origins) = 0;
    /// Returns what the records of all processes have, also of those that have
    /// ended.
    virtual std::vector<StreamOrigin> read() = 0;
};

} // namespace crosslink
