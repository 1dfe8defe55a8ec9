// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>

#include <string>

namespace crosslink
{

struct InstanceState;

/// Returns the state of the fleet as known to this instance, for
/// `crosslink status`.
Json::Value status_report(InstanceState& state);
/// Formats a status report as text for a terminal.
std::string status_text(const Json::Value& status);

} // namespace crosslink
