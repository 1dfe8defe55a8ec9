// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "path_probe.h"

#include "forward_state.h"
#include "runner_look.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Time between two rounds where no probe is due; a new failure wakes the duty.
constexpr Micros idle_pause = std::chrono::seconds(60);
constexpr Micros min_pause = std::chrono::milliseconds(2);
/// Runners that are tried for one probe of a group: one may be cut off although
/// the paths to most of the group are open.
constexpr int max_tried = 3;

} // namespace

PathProbe::PathProbe(ForwardState& state)
    : m_state(state),
      m_duty(
          "path_probe", [this] { return run_round(); }, Duty::Begin::OnWake)
{
    m_state.path_changed.set_duty(&m_duty);
}

PathProbe::~PathProbe()
{
    m_state.path_changed.set_duty(nullptr);
}

Micros
PathProbe::run_round()
{
    const TimePoint now = monotonic_now();
    const auto due = m_state.paths.with(
        [now](RunnerPaths& paths) { return paths.take_probe(now); });
    if (due && !probe(*due))
        m_state.paths.with(
            [](RunnerPaths& paths) { paths.probe_failed(monotonic_now()); });
    const auto next = m_state.paths.with(
        [](const RunnerPaths& paths) { return paths.next_probe(); });
    if (!next)
        return idle_pause;
    return std::clamp(
        std::chrono::duration_cast<Micros>(*next - monotonic_now()), min_pause,
        idle_pause);
}

/// Returns whether a runner was reached, or none is to be.
bool
PathProbe::probe(const RunnerPaths::Probe& due)
{
    if (due.runner.empty())
        return probe_group(due.group);
    const auto listed = m_state.listed_runner(due.runner);
    if (!listed) {
        m_state.paths.with(
            [&due](RunnerPaths& paths) { paths.forget(due.runner); });
        return true;
    }
    if (due.suspect) {
        const RunnerLook look =
            look_at_runner(m_state, listed->place(), listed->address);
        return look.fate == ProcessFate::Alive && !look.path_cut;
    }
    return reaches_runner(m_state, *listed);
}

/// Returns whether a runner of `group` was reached.
bool
PathProbe::probe_group(const RunnerGroup& group)
{
    for (int tried = 0; tried < max_tried; ++tried) {
        const auto listed = m_state.draw_runner(group, {});
        if (!listed)
            return false;
        if (reaches_runner(m_state, *listed))
            return true;
    }
    return false;
}

} // namespace crosslink
