// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "guarded.h"
#include "nudger.h"

#include <adapters/port_look.h>
#include <crosslink/forward/unresolved_failures.h>

#include <functional>

namespace crosslink
{

/// Looks at the ports of processes that broke calls off, until a verdict on
/// them is known or its time is over. A thread of its own, so that no caller
/// waits for it; idle where nothing broke lately.
class EndLooks
{
public:
    /// Called with what a look found.
    using Found = std::function<void(const ProbeTarget&, PortLook)>;
    /// Called at each round, for verdicts that come with time.
    using Settle = std::function<void()>;

    /// `breaks` and `added`, which is nudged with each break, outlive it.
    EndLooks(Guarded<UnresolvedFailures>& breaks, Nudger& added, Found found,
             Settle settle);
    ~EndLooks();
    EndLooks(const EndLooks&) = delete;
    EndLooks& operator=(const EndLooks&) = delete;

private:
    Micros round();

    Guarded<UnresolvedFailures>& m_breaks;
    Nudger& m_added;
    const Found m_found;
    const Settle m_settle;
    Duty m_duty;
};

} // namespace crosslink
