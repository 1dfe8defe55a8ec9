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

/// Pause between rounds while there is nothing to record. A new version starts
/// a round at once; that the duty was taken is noticed in the next round.
constexpr Micros idle_pause = std::chrono::milliseconds(500);
/// Pause after a write, until the watch on the platform's store reports it, or
/// until a failed write is retried. Each write is a billed call.
constexpr Micros retry_pause = std::chrono::milliseconds(400);

} // namespace

RolloutDuty::RolloutDuty(ForwardState& state)
    : m_state(state),
      m_duty(
          "rollouts", [this] { return round(); }, Duty::Begin::OnStart)
{
}

/// Returns the named versions that are not recorded.
std::vector<RolloutDuty::Missing>
RolloutDuty::missing()
{
    const TimePoint now = monotonic_now();
    const Micros bound = m_state.settings.sending_bound();
    std::vector<Missing> result;
    m_state.fleet.with([&](FleetView& view) {
        // The record is unknown before the platform's store was first read.
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
    return due.empty() ? idle_pause : retry_pause;
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
