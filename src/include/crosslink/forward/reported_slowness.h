// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/response_speed.h>

#include <cstdint>

namespace crosslink
{

struct SpeedRow;

/// What other instances report of the slowness of one process.
class ReportedSlowness
{
public:
    /// Time after the answers that a report rests on at which it is outdated.
    static constexpr Micros lifetime = std::chrono::seconds(3);
    /// Instances that must report a process as stalled: one alone may have
    /// lost its own path there.
    static constexpr std::uint32_t min_stall_reports = 2;

    /// Applies a report that was made at `as_of`.
    void apply(const SpeedRow& row, TimePoint as_of);
    /// Returns whether a call with the random bits `draw` takes the report into
    /// account. The older the report is, the fewer calls do: a process that has
    /// recovered gets its share back bit by bit, from all instances alike.
    bool counts(std::uint64_t draw, TimePoint now) const;
    /// Returns the mean ratio of the process, of which `service` is expected as
    /// long as little is known; see ResponseSpeed.
    double ratio(double service) const;
    bool is_stalled() const { return m_is_stalled; }
    TimePoint at() const { return m_at; } ///< Of the answers it rests on.

private:
    SpeedEvidence m_evidence;
    bool m_is_stalled = false;
    TimePoint m_at{};
};

} // namespace crosslink
