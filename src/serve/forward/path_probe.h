// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>

#include <crosslink/base/time.h>

#include <crosslink/forward/runner_paths.h>

namespace crosslink
{

struct ForwardState;

/// Finds out which runners this instance reaches again, and whether a runner
/// from which nothing comes is out of reach, so that no caller waits for it.
/// Four probes a second at most fail. Uses a thread of its own from the first
/// runner on that is out of reach.
class PathProbe
{
public:
    /// `state` must outlive this object.
    explicit PathProbe(ForwardState& state);
    ~PathProbe();

private:
    Micros run_round();
    bool probe(const RunnerPaths::Probe& due);
    bool probe_group(const RunnerGroup& group);

    ForwardState& m_state;
    Duty m_duty;
};

} // namespace crosslink
