// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/report/burn_report.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr std::int64_t fast_minutes = 5;
constexpr std::int64_t slow_minutes = 60;
constexpr std::size_t max_series = 20'000;

std::int64_t
minute_of(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(
               now.time_since_epoch())
        .count();
}

Json::Value
counts_to_json(const BurnCounts& counts)
{
    Json::Value value;
    value["requests"] = Json::UInt64(counts.requests);
    value["unanswered"] = Json::UInt64(counts.unanswered);
    value["late_first"] = Json::UInt64(counts.late_first);
    value["late_between"] = Json::UInt64(counts.late_between);
    value["prompt_tokens"] = Json::UInt64(counts.prompt_tokens);
    value["computed_tokens"] = Json::UInt64(counts.computed_tokens);
    return value;
}

} // namespace

void
BurnCounts::add(const BurnCounts& other)
{
    requests += other.requests;
    unanswered += other.unanswered;
    late_first += other.late_first;
    late_between += other.late_between;
    prompt_tokens += other.prompt_tokens;
    computed_tokens += other.computed_tokens;
}

void
BurnReport::add(const RequestOutcome& outcome, TimePoint now)
{
    SeriesName name{outcome.account, outcome.model, outcome.zone};
    const auto found = m_series.find(name);
    if (found == m_series.end() && m_series.size() >= max_series)
        return;
    Series& series = m_series[std::move(name)];
    series.objectives = outcome.objectives;
    const std::int64_t minute = minute_of(now);
    Slot& slot = series.ring.at(static_cast<std::size_t>(minute) % slots);
    if (slot.minute != minute)
        slot = {minute, {}};
    BurnCounts one;
    one.requests = 1;
    one.unanswered = outcome.answered ? 0 : 1;
    const Objectives& objectives = outcome.objectives;
    if (outcome.answered) {
        one.late_first = outcome.first_token > objectives.first_token ? 1 : 0;
        one.late_between =
            outcome.slowest_between > objectives.between_tokens ? 1 : 0;
    }
    one.prompt_tokens = outcome.prompt_tokens;
    one.computed_tokens = outcome.computed_tokens;
    slot.counts.add(one);
}

BurnCounts
BurnReport::sum(const Series& series, std::int64_t minute, std::int64_t span)
{
    BurnCounts total;
    for (const Slot& slot : series.ring)
        if (slot.minute > minute - span && slot.minute <= minute)
            total.add(slot.counts);
    return total;
}

Json::Value
BurnReport::rows(TimePoint now) const
{
    const std::int64_t minute = minute_of(now);
    Json::Value rows(Json::arrayValue);
    for (const auto& [name, series] : m_series) {
        Json::Value row;
        row["account"] = name.account;
        row["model"] = name.model;
        row["zone"] = name.zone;
        row["target_share"] = series.objectives.target_share;
        row["answered_share"] = series.objectives.answered_share;
        row["fast"] = counts_to_json(sum(series, minute, fast_minutes));
        row["slow"] = counts_to_json(sum(series, minute, slow_minutes));
        rows.append(row);
    }
    return rows;
}

} // namespace crosslink
