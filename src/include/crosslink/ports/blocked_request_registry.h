// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <string>

namespace crosslink
{

/// The platform's record of requests that are sent to no runner. It outlasts
/// all instances, and tells those that start. Both calls block, and throw Error
/// with PlatformUnavailable, PlatformThrottled or PlatformOutcomeUnknown; they
/// may be called again then.
class BlockedRequestRegistry
{
public:
    virtual ~BlockedRequestRegistry() = default;

    /// Records that the request with this digest is blocked. The record goes by
    /// itself after `span`, or the longest lease of the platform.
    virtual void block(const std::string& request, Micros span) = 0;
    /// Takes that record away, where there is one.
    virtual void unblock(const std::string& request) = 0;
};

} // namespace crosslink
