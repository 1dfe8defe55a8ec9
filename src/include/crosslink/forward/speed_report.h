// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/prefill_rate.h>
#include <crosslink/forward/report_aggregator.h>
#include <crosslink/forward/runner_entry.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// How late a process answers, summed over the instances that report it.
struct SlownessRow {
    std::uint32_t reports = 0;
    std::uint32_t stalled = 0; ///< Of them, those that get no answer at all.
    /// Sums over the reports: how much later than the mean of its service the
    /// process answers, and the ages of the last answers.
    std::uint64_t late_sum_ms = 0;
    std::uint64_t age_sum_ms = 0;

    bool operator==(const SlownessRow&) const = default;
    SlownessRow& operator+=(const SlownessRow& other);
    SlownessRow& operator-=(const SlownessRow& other);
    Micros mean_late() const;
    Micros mean_age() const;
};

/// What an instance, or a part of the fleet's tree, knows of the speed of
/// runners.
struct SpeedReport {
    /// Greatest number of rows of each of the two maps. All rows of a report
    /// take some 5 KB.
    static constexpr std::size_t max_rows = 64;

    std::map<std::string, SlownessRow> slow;       ///< By process_key().
    std::map<std::string, PrefillSamples> prefill; ///< By service.

    /// Adds the time for which the report was on its way.
    void age_by(Micros span);
    /// Adds the rows of `other`.
    void add(const SpeedReport& other);
    /// Drops the rows with the fewest reports or samples beyond max_rows.
    void limit();
};

/// Returns the key of a process in a report.
std::string process_key(const RunnerIncarnation& runner);
/// Returns the process that process_key() gave `key`, to which the result
/// refers.
RunnerIncarnation process_of(std::string_view key);

/// Adds up what each instance reports of the speed of runners.
class SpeedAggregator
{
public:
    void record_report(std::string_view instance, const SpeedReport& report,
                       TimePoint now);
    /// Returns the sum of what all other instances reported recently, limited
    /// to the rows of a report.
    SpeedReport others(std::string_view instance, TimePoint now);

private:
    ReportAggregator<SlownessRow> m_slow;
    ReportAggregator<PrefillSamples> m_prefill;
};

} // namespace crosslink
