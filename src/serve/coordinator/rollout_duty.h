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

/// While this instance holds the coordinator duty, records at the platform
/// which weights were named and how long the replaced ones may still be used;
/// idle otherwise. It has a thread of its own, so that a slow platform delays
/// neither orders to runners nor the renewal of the duty's lease.
class RolloutDuty
{
public:
    /// `state` must outlive this object.
    explicit RolloutDuty(ForwardState& state);

    /// Starts and ends the thread; see Duty.
    void start() { m_duty.start(); }
    void stop() { m_duty.stop(); }

    /// Starts the next round at once.
    void wake() { m_duty.wake(); }

private:
    /// A named version that is not recorded yet.
    struct Missing {
        std::string model;
        std::uint64_t version = 0;
        TimePoint until{}; ///< Calls may be sent to older versions until then.
    };

    Micros round();
    std::vector<Missing> missing();
    void record(const Missing& missing);

    ForwardState& m_state;
    Duty m_duty;
};

} // namespace crosslink
