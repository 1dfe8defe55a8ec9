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
constexpr double thousandths = 1000;

/// Drops the rows of the lowest `weight` beyond SpeedReport::max_rows.
template<typename Row>
void
limit_rows(std::map<std::string, Row>& rows,
           const std::function<std::uint64_t(const Row&)>& weight)
{
    if (rows.size() <= SpeedReport::max_rows)
        return;
    std::vector<std::uint64_t> weights;
    weights.reserve(rows.size());
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

SpeedRow&
SpeedRow::operator+=(const SpeedRow& other)
{
    reports += other.reports;
    stalled += other.stalled;
    answers += other.answers;
    ratios += other.ratios;
    time_sum_ms += other.time_sum_ms;
    age_sum_ms += other.age_sum_ms;
    return *this;
}

SpeedRow&
SpeedRow::operator-=(const SpeedRow& other)
{
    reports -= other.reports;
    stalled -= other.stalled;
    answers -= other.answers;
    ratios -= other.ratios;
    time_sum_ms -= other.time_sum_ms;
    age_sum_ms -= other.age_sum_ms;
    return *this;
}

void
SpeedRow::add(const SpeedEvidence& evidence, Micros time, Micros age)
{
    ++reports;
    answers += static_cast<std::uint64_t>(evidence.answers * thousandths);
    ratios += static_cast<std::uint64_t>(evidence.ratios * thousandths);
    time_sum_ms += whole_millis(time);
    age_sum_ms += whole_millis(age);
}

SpeedEvidence
SpeedRow::evidence() const
{
    return {static_cast<double>(answers) / thousandths,
            static_cast<double>(ratios) / thousandths};
}

Micros
SpeedRow::mean_time() const
{
    return std::chrono::milliseconds(time_sum_ms / std::max(reports, 1U));
}

Micros
SpeedRow::mean_age() const
{
    return std::chrono::milliseconds(age_sum_ms / std::max(reports, 1U));
}

void
SpeedReport::age_by(Micros span)
{
    const std::uint64_t age_ms = whole_millis(span);
    for (auto& [key, row] : slow)
        row.age_sum_ms += row.reports * age_ms;
    for (auto& [service, row] : services)
        row.age_sum_ms += row.reports * age_ms;
    for (auto& [service, samples] : prefill)
        samples.age_by(span);
}

void
SpeedReport::add(const SpeedReport& other)
{
    add_load(slow, other.slow);
    add_load(services, other.services);
    add_load(prefill, other.prefill);
}

void
SpeedReport::limit()
{
    // Stalled processes first, which may have no answers.
    limit_rows<SpeedRow>(slow, [](const SpeedRow& row) {
        constexpr std::uint64_t stalled_weight = 1'000'000;
        return row.ratios + row.stalled * stalled_weight;
    });
    limit_rows<SpeedRow>(services,
                         [](const SpeedRow& row) { return row.answers; });
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
    m_services.record_report(instance, report.services, now);
    m_prefill.record_report(instance, report.prefill, now);
}

SpeedReport
SpeedAggregator::others(std::string_view instance, TimePoint now)
{
    SpeedReport report{m_slow.others(instance, now),
                       m_services.others(instance, now),
                       m_prefill.others(instance, now)};
    report.limit();
    return report;
}

} // namespace crosslink
