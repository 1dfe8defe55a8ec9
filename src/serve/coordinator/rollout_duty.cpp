// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "rollout_duty.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/rollout_registry.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Rounds while there is nothing to record. New versions and an own taking of
/// the duty are seen in between.
constexpr Micros idle_pause = std::chrono::milliseconds(500);
/// Until the watch tells what was written, or a write that failed is tried
/// again. Each is a priced call.
constexpr Micros again_pause = std::chrono::milliseconds(400);

} // namespace

RolloutDuty::RolloutDuty(ForwardState& state)
    : m_state(state), m_duty("rollouts", [this] { return round(); })
{
}

/// Returns what is not recorded.
std::vector<RolloutDuty::Missing>
RolloutDuty::missing()
{
    const TimePoint now = monotonic_now();
    const Micros bound = m_state.settings.sending_bound();
    std::vector<Missing> result;
    m_state.fleet.with([&](FleetView& view) {
        // Before the first reading nothing is known of the record.
        if (!view.runners_listed)
            return;
        for (const auto& [model, history] : view.weights)
            for (const std::uint64_t version :
                 view.rollouts[model].missing(history))
                result.push_back(
                    {model, version,
                     now + history.left(version, bound, now, view.reach)});
    });
    return result;
}

Micros
RolloutDuty::round()
{
    if (!m_state.has_duty())
        return idle_pause;
    const std::vector<Missing> due = missing();
    try {
        for (const Missing& version : due)
            record(version);
    } catch (const Error& failure) {
        LogLine("rollout_not_recorded").field("error", failure.what());
    }
    return due.empty() ? idle_pause : again_pause;
}

void
RolloutDuty::record(const Missing& missing)
{
    const Micros left = std::max(missing.until - monotonic_now(), Micros{0});
    m_state.ports.rollouts.record(missing.model, missing.version, left);
    LogLine("rollout_recorded")
        .field("model", missing.model)
        .field("version", missing.version)
        .field("left_ms",
               static_cast<std::uint64_t>(left / std::chrono::milliseconds(1)));
}

} // namespace crosslink
