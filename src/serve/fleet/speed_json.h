// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/forward/speed_report.h>

namespace crosslink
{

/// Adds `report` to the exchange `value` as its members "slow", "speeds" and
/// "prefill": {"slow": {PROCESS: ROW}, "speeds": {SERVICE: ROW}, "prefill":
/// {SERVICE: [AGE_SUM, BUCKET, COUNT, BUCKET, COUNT, ..]}}, a ROW as [REPORTS,
/// STALLED, ANSWERS, RATIOS, TIME_SUM, AGE_SUM], with times in milliseconds.
/// Instances of an earlier version ignore all three.
void add_speed_json(const SpeedReport& report, Json::Value& value);

/// Returns the report in an exchange; empty where it has none, as in those of
/// earlier versions. Rows beyond SpeedReport::max_rows are dropped. Throws
/// Error(BadJson) for rows that lack a field.
SpeedReport speed_from_json(const Json::Value& value);

} // namespace crosslink
