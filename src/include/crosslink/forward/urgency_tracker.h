// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// How urgent a call is among those that came to its service lately.
struct Urgency {
    /// More urgent priorities that came lately; 0 for the most urgent.
    std::uint32_t level = 0;
    /// Least objective of those and of the call's own; 0 for none.
    Micros strictest_objective{0};
};

/// Tracks which priorities and objectives the calls of each service have. Only
/// those that come count: routes that nobody calls must not hold back others.
class UrgencyTracker
{
public:
    /// A priority counts for this time after its last call.
    static constexpr Micros active_time = std::chrono::seconds(5);

    /// Records a call with `objective`, 0 for none, and returns its urgency. A
    /// lower `priority` is more urgent.
    Urgency called(std::string_view service, std::uint32_t priority,
                   Micros objective, TimePoint now);

private:
    struct Demand {
        TimePoint called_at{};
        Micros objective{0}; ///< Of the last call.
    };
    using ByPriority = std::map<std::uint32_t, Demand>;

    std::map<std::string, ByPriority, std::less<>> m_services;
};

} // namespace crosslink
