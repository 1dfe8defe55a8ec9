// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "process_end_probe.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// Time between two rounds where no probe is due; a new failure wakes the duty.
constexpr Micros idle_pause = std::chrono::seconds(60);
constexpr Micros min_pause = std::chrono::milliseconds(20);

} // namespace

ProcessEndProbe::ProcessEndProbe(Guarded<UnresolvedFailures>& failures,
                                 DutyWaker& failure_added,
                                 const SingleFields& single_fields,
                                 ProbeCallback on_probe, RoundCallback on_round)
    : m_failures(failures), m_failure_added(failure_added),
      m_single_fields(single_fields), m_on_probe(std::move(on_probe)),
      m_on_round(std::move(on_round)),
      m_duty(
          "end_looks", [this] { return run_round(); }, Duty::Begin::OnWake)
{
    m_failure_added.set_duty(&m_duty);
}

ProcessEndProbe::~ProcessEndProbe()
{
    m_failure_added.set_duty(nullptr);
}

Micros
ProcessEndProbe::run_round()
{
    const auto targets = m_failures.with([](UnresolvedFailures& failures) {
        return failures.take_due(monotonic_now());
    });
    for (const ProbeTarget& target : targets)
        m_on_probe(target, look_at_port(target.address, m_single_fields));
    m_on_round();
    const auto next_due_time = m_failures.with(
        [](const UnresolvedFailures& failures) { return failures.next_due(); });
    if (!next_due_time)
        return idle_pause;
    return std::clamp(
        std::chrono::duration_cast<Micros>(*next_due_time - monotonic_now()),
        min_pause, idle_pause);
}

} // namespace crosslink
