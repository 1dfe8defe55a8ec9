// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>

namespace crosslink
{

struct ServedSoftware;

/// The platform's record of the software versions that served lately. It
/// outlives all instances: those that start learn from it that a version served
/// which is no longer listed. Both calls block, and throw Error with
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
};

} // namespace crosslink
