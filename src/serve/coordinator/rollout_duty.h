// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crosslink
{

/// Records at the platform which weights were named, and how long the replaced
/// ones may be used, while this instance has the duty; idle else. It has a
/// thread of its own, so that a slow platform holds up neither orders nor the
/// duty's lease.
class RolloutDuty
{
public:
    /// `state` outlives it.
    explicit RolloutDuty(ForwardState& state);

    /// Looks at once for what is to be recorded.
    void wake() { m_duty.wake(); }

private:
    /// A version that is not recorded yet.
    struct Missing {
        std::string model;
        std::uint64_t version = 0;
        TimePoint until{}; ///< Calls may be sent to older ones.
    };

    Micros round();
    std::vector<Missing> missing();
    void record(const Missing& missing);

    ForwardState& m_state;
    Duty m_duty;
};

} // namespace crosslink
