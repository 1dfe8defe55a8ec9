// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/prefill_rate.h>
#include <crosslink/forward/report_aggregator.h>
#include <crosslink/forward/response_speed.h>
#include <crosslink/forward/runner_entry.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// How fast a process, or a service, answers, summed over the instances that
/// report it.
struct SpeedRow {
    std::uint32_t reports = 0;
    std::uint32_t stalled = 0; ///< Of them, those that get no answer at all.
    /// Recent answers and the sum of their ratios, in thousandths; see
    /// SpeedEvidence.
    std::uint64_t answers = 0;
    std::uint64_t ratios = 0;
    /// Sums over the reports: the mean times of answers, and the ages of the
    /// last answers.
    std::uint64_t time_sum_ms = 0;
    std::uint64_t age_sum_ms = 0;

    bool operator==(const SpeedRow&) const = default;
    SpeedRow& operator+=(const SpeedRow& other);
    SpeedRow& operator-=(const SpeedRow& other);
    /// Adds one report of answers, the last of which came `age` ago.
    void add(const SpeedEvidence& evidence, Micros time, Micros age);
    SpeedEvidence evidence() const;
    Micros mean_time() const;
    Micros mean_age() const;
};

/// What an instance, or a part of the fleet's tree, knows of the speed of
/// runners.
struct SpeedReport {
    /// Greatest number of rows of each map. All rows of a report take some
    /// 8 KB.
    static constexpr std::size_t max_rows = 64;

    std::map<std::string, SpeedRow> slow;          ///< By process_key().
    std::map<std::string, SpeedRow> services;      ///< Those that answer.
    std::map<std::string, PrefillSamples> prefill; ///< By service.

    /// Adds the time for which the report was on its way.
    void age_by(Micros span);
    /// Adds the rows of `other`.
    void add(const SpeedReport& other);
    /// Drops rows beyond max_rows: processes of which the least is reported,
    /// and services with the fewest answers or samples.
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
    ReportAggregator<SpeedRow> m_slow;
    ReportAggregator<SpeedRow> m_services;
    ReportAggregator<PrefillSamples> m_prefill;
};

} // namespace crosslink
