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

/// Looks at the ports of processes that broke calls off, until a verdict on
/// them is known or its time is over. A thread of its own, so that no caller
/// waits for it; idle where nothing broke lately.
class ProcessEndProbe
{
public:
    /// Called with what a look found.
    using ProbeCallback = std::function<void(const ProbeTarget&, PortLook)>;
    /// Called at each round, for verdicts that come with time.
    using RoundCallback = std::function<void()>;

    /// `failures` and `failure_added`, which is woken at each failure, outlive
    /// it.
    ProcessEndProbe(Guarded<UnresolvedFailures>& failures,
                    DutyWaker& failure_added, ProbeCallback on_probe,
                    RoundCallback on_round);
    ~ProcessEndProbe();
    ProcessEndProbe(const ProcessEndProbe&) = delete;
    ProcessEndProbe& operator=(const ProcessEndProbe&) = delete;

private:
    Micros run_round();

    Guarded<UnresolvedFailures>& m_failures;
    DutyWaker& m_failure_added;
    const ProbeCallback m_on_probe;
    const RoundCallback m_on_round;
    Duty m_duty;
};

} // namespace crosslink
