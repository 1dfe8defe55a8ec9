// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <string>

namespace crosslink
{

/// The platform's record of blocked requests, which are sent to no runner. It
/// outlives all instances, and those that start read it. Both calls block, and
/// throw Error with PlatformUnavailable, PlatformThrottled or
/// PlatformOutcomeUnknown; they may be repeated after any of these.
class BlockedRequestRegistry
{
public:
    virtual ~BlockedRequestRegistry() = default;

    /// Records that the request with the digest `request` is blocked. The
    /// record expires after `span`, or after the platform's longest lease if
    /// that is shorter.
    virtual void block(const std::string& request, Micros span) = 0;
    /// Removes that record, if there is one.
    virtual void unblock(const std::string& request) = 0;
};

} // namespace crosslink
