// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "speed_json.h"

#include <crosslink/base/error.h>

#include <map>
#include <string>

namespace crosslink
{

namespace
{

constexpr const char* slow_member = "slow";
constexpr const char* services_member = "speeds";
constexpr const char* prefill_member = "prefill";

Json::Value
row_to_json(const SpeedRow& row)
{
    Json::Value value(Json::arrayValue);
    value.append(row.reports);
    value.append(row.stalled);
    value.append(Json::UInt64(row.answers));
    value.append(Json::UInt64(row.ratios));
    value.append(Json::UInt64(row.time_sum_ms));
    value.append(Json::UInt64(row.age_sum_ms));
    return value;
}

SpeedRow
row_from_json(const Json::Value& value)
{
    constexpr Json::ArrayIndex fields = 6;
    if (!value.isArray() || value.size() < fields)
        throw Error(ErrorCode::BadJson, "a speed without its ratio or age");
    return {value[0].asUInt(),   value[1].asUInt(),   value[2].asUInt64(),
            value[3].asUInt64(), value[4].asUInt64(), value[5].asUInt64()};
}

std::map<std::string, SpeedRow>
rows_from_json(const Json::Value& value)
{
    std::map<std::string, SpeedRow> rows;
    for (const std::string& key : value.getMemberNames())
        rows[key] = row_from_json(value[key]);
    return rows;
}

/// Leaves out empty buckets: engines of a service are about equally fast.
Json::Value
samples_to_json(const PrefillSamples& samples)
{
    Json::Value value(Json::arrayValue);
    value.append(Json::UInt64(samples.age_sum_ms));
    for (std::size_t i = 0; i < PrefillSamples::buckets; ++i) {
        if (samples.counts[i] == 0)
            continue;
        value.append(Json::UInt64(i));
        value.append(samples.counts[i]);
    }
    return value;
}

PrefillSamples
samples_from_json(const Json::Value& value)
{
    if (!value.isArray() || value.empty())
        throw Error(ErrorCode::BadJson, "prefill rates without an age");
    PrefillSamples samples;
    samples.age_sum_ms = value[0].asUInt64();
    for (Json::ArrayIndex i = 1; i + 1 < value.size(); i += 2) {
        const Json::UInt64 bucket = value[i].asUInt64();
        if (bucket >= PrefillSamples::buckets)
            throw Error(ErrorCode::BadJson, "an unknown prefill rate");
        samples.counts[bucket] = value[i + 1].asUInt();
    }
    return samples;
}

} // namespace

void
add_speed_json(const SpeedReport& report, Json::Value& value)
{
    for (const auto& [process, row] : report.slow)
        value[slow_member][process] = row_to_json(row);
    for (const auto& [service, row] : report.services)
        value[services_member][service] = row_to_json(row);
    for (const auto& [service, samples] : report.prefill)
        value[prefill_member][service] = samples_to_json(samples);
}

SpeedReport
speed_from_json(const Json::Value& value)
{
    SpeedReport report;
    report.slow = rows_from_json(value[slow_member]);
    report.services = rows_from_json(value[services_member]);
    const Json::Value& prefill = value[prefill_member];
    for (const std::string& service : prefill.getMemberNames())
        report.prefill[service] = samples_from_json(prefill[service]);
    report.limit();
    return report;
}

} // namespace crosslink
