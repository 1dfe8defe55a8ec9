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

/// Tracks how much later than expected the first events of calls come, by
/// service and priority. Answers the load of more calls than the runners
/// can serve: the expected waits rest on load reports that are 0.2 to 0.5 s
/// old, and the runner with the least expected wait is the one that is
/// underestimated most. Where each instance sends what looks acceptable by
/// itself, queues grow to several objectives, and the expected waits stay
/// short.
class LatenessTracker
{
public:
    /// Time after the last answer of a priority until its lateness is
    /// forgotten; it fades until then, so that calls are sent again.
    static constexpr Micros lifetime = std::chrono::seconds(3);

    /// Records that the first event of a call came `late` after it was
    /// expected; negative if it came early.
    void answered(std::string_view service, std::uint32_t priority,
                  Micros objective, Micros late, TimePoint now);
    /// Returns by how much a call of `priority` has to expect to wait longer
    /// than its runner's load shows: the most that calls of its own priority or
    /// of more urgent ones were late, beyond what their objective tolerates.
    Micros excess(std::string_view service, std::uint32_t priority,
                  TimePoint now) const;

private:
    struct Lateness {
        double mean_seconds = 0;
        Micros objective{0}; ///< Of the last call.
        TimePoint at{};
    };
    using ByPriority = std::map<std::uint32_t, Lateness>;

    static Micros excess_of(const Lateness& lateness, TimePoint now);

    std::map<std::string, ByPriority, std::less<>> m_services;
};

} // namespace crosslink
