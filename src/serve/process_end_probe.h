// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "duty_waker.h"
#include "guarded.h"

#include <adapters/port_look.h>
#include <crosslink/forward/unresolved_failures.h>

#include <functional>

namespace crosslink
{

class SingleFields;

/// Probes the ports of processes that interrupted calls, until it is known
/// whether a process ended or the time for a verdict is over. Uses a thread of
/// its own, so that no caller waits for a probe; it runs from the first failure
/// on.
class ProcessEndProbe
{
public:
    /// Called with the result of each probe.
    using ProbeCallback = std::function<void(const ProbeTarget&, PortLook)>;
    /// Called in each round, for verdicts that depend on the time alone.
    using RoundCallback = std::function<void()>;

    /// `failures`, `failure_added` and `single_fields` must outlive this
    /// object, which registers its duty with `failure_added` so that a new
    /// failure starts a round. For `single_fields` see look_at_port().
    ProcessEndProbe(Guarded<UnresolvedFailures>& failures,
                    DutyWaker& failure_added, const SingleFields& single_fields,
                    ProbeCallback on_probe, RoundCallback on_round);
    ~ProcessEndProbe();
    ProcessEndProbe(const ProcessEndProbe&) = delete;
    ProcessEndProbe& operator=(const ProcessEndProbe&) = delete;

private:
    Micros run_round();

    Guarded<UnresolvedFailures>& m_failures;
    DutyWaker& m_failure_added;
    const SingleFields& m_single_fields;
    const ProbeCallback m_on_probe;
    const RoundCallback m_on_round;
    Duty m_duty;
};

} // namespace crosslink
