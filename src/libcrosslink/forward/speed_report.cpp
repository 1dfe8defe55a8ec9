// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/speed_report.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <vector>

namespace crosslink
{

namespace
{

constexpr char key_separator = '/';

/// Drops the rows of the lowest `weight` beyond SpeedReport::max_rows.
template<typename Row>
void
limit_rows(std::map<std::string, Row>& rows,
           const std::function<std::uint64_t(const Row&)>& weight)
{
    if (rows.size() <= SpeedReport::max_rows)
        return;
    std::vector<std::uint64_t> weights;
    for (const auto& [key, row] : rows)
        weights.push_back(weight(row));
    const auto last = weights.begin() + SpeedReport::max_rows - 1;
    std::nth_element(weights.begin(), last, weights.end(), std::greater<>());
    const std::uint64_t least = *last;
    std::erase_if(
        rows, [&](const auto& item) { return weight(item.second) < least; });
    while (rows.size() > SpeedReport::max_rows) {
        const auto tied =
            std::find_if(rows.begin(), rows.end(), [&](const auto& item) {
                return weight(item.second) == least;
            });
        rows.erase(tied);
    }
}

} // namespace

SlownessRow&
SlownessRow::operator+=(const SlownessRow& other)
{
    reports += other.reports;
    stalled += other.stalled;
    late_sum_ms += other.late_sum_ms;
    age_sum_ms += other.age_sum_ms;
    return *this;
}

SlownessRow&
SlownessRow::operator-=(const SlownessRow& other)
{
    reports -= other.reports;
    stalled -= other.stalled;
    late_sum_ms -= other.late_sum_ms;
    age_sum_ms -= other.age_sum_ms;
    return *this;
}

Micros
SlownessRow::mean_late() const
{
    return std::chrono::milliseconds(late_sum_ms / std::max(reports, 1U));
}

Micros
SlownessRow::mean_age() const
{
    return std::chrono::milliseconds(age_sum_ms / std::max(reports, 1U));
}

void
SpeedReport::age_by(Micros span)
{
    const auto millis = static_cast<std::uint64_t>(std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count(),
        0));
    for (auto& [key, row] : slow)
        row.age_sum_ms += row.reports * millis;
    for (auto& [service, samples] : prefill)
        samples.age_by(span);
}

void
SpeedReport::add(const SpeedReport& other)
{
    add_load(slow, other.slow);
    add_load(prefill, other.prefill);
}

void
SpeedReport::limit()
{
    limit_rows<SlownessRow>(
        slow, [](const SlownessRow& row) { return row.late_sum_ms; });
    limit_rows<PrefillSamples>(
        prefill, [](const PrefillSamples& samples) { return samples.count(); });
}

std::string
process_key(const RunnerIncarnation& runner)
{
    return std::string(runner.id) + key_separator +
           std::to_string(runner.start_ms);
}

RunnerIncarnation
process_of(std::string_view key)
{
    const std::size_t end = key.rfind(key_separator);
    if (end == std::string_view::npos)
        return {key, 0};
    const std::string_view digits = key.substr(end + 1);
    RunnerIncarnation process{key.substr(0, end), 0};
    std::from_chars(digits.data(), digits.data() + digits.size(),
                    process.start_ms);
    return process;
}

void
SpeedAggregator::record_report(std::string_view instance,
                               const SpeedReport& report, TimePoint now)
{
    m_slow.record_report(instance, report.slow, now);
    m_prefill.record_report(instance, report.prefill, now);
}

SpeedReport
SpeedAggregator::others(std::string_view instance, TimePoint now)
{
    SpeedReport report{m_slow.others(instance, now),
                       m_prefill.others(instance, now)};
    report.limit();
    return report;
}

} // namespace crosslink
