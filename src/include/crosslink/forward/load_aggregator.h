// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/report_aggregator.h>
#include <crosslink/forward/runner_entry.h>

namespace crosslink
{

/// Adds up the load that each instance puts on each runner.
using LoadAggregator = ReportAggregator<RunnerLoad>;

} // namespace crosslink
