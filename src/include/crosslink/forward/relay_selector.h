// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/instance_info.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace crosslink
{

/// Chooses the instance that passes a call on to a runner which this instance
/// does not reach. Answers the load of instances without a path to runners:
/// it is spread evenly over the others of the zone, and over other zones only
/// where none of the own zone is left.
class RelaySelector
{
public:
    using Instances = std::map<std::string, InstanceInfo, std::less<>>;

    /// An instance that could not help is not asked again for this time.
    static constexpr Micros retry_pause = std::chrono::milliseconds(500);

    /// Returns one of `instances` other than `own` for a call to `runner`;
    /// nothing if none is left.
    std::optional<InstanceInfo> choose(const Instances& instances,
                                       const InstanceInfo& own,
                                       std::string_view runner, TimePoint now,
                                       std::uint64_t random) const;
    /// Records that the instance at `address` could not help.
    void failed(std::string_view address, TimePoint now);
    /// Records that it could not help with calls to `runner`.
    void failed(std::string_view address, std::string_view runner,
                TimePoint now);

private:
    /// The address of an instance, and a runner; empty for all runners.
    using Key = std::pair<std::string, std::string>;

    bool is_paused(std::string_view address, std::string_view runner,
                   TimePoint now) const;

    /// Until when instances are not asked.
    std::map<Key, TimePoint> m_paused_until;
};

} // namespace crosslink
