// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>

namespace crosslink
{

struct RecordedRoutes;
struct ServedSoftware;

/// The platform's record of the software versions that served lately, and of
/// the resumable routes that were in force. It outlives all instances: those
/// that start learn from it that a version served which is no longer listed, or
/// that a route had another service. All calls block, and throw Error with
/// PlatformUnavailable, PlatformThrottled or PlatformOutcomeUnknown; they may
/// be repeated after any of these.
class SoftwareRegistry
{
public:
    virtual ~SoftwareRegistry() = default;

    /// Records `served`.
    virtual void record(const ServedSoftware& served) = 0;
    /// Removes the record `id`, if there is one; see
    /// ServedSoftware::record_id().
    virtual void remove(const std::string& id) = 0;
    /// Records `routes`.
    virtual void record(const RecordedRoutes& routes) = 0;
    /// Removes the record `id` of routes, if there is one.
    virtual void remove_routes(const std::string& id) = 0;
};

} // namespace crosslink
