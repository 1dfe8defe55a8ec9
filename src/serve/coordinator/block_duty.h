// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <string>

namespace crosslink
{

/// While this instance holds the coordinator duty, records blocked requests at
/// the platform and removes the records of requests that proved harmless; idle
/// otherwise. Running instances report crashes to each other directly; the
/// record is for instances that start later, or after all others are gone.
class BlockDuty
{
public:
    /// `state` must outlive this object.
    explicit BlockDuty(ForwardState& state);

    /// Starts and ends the thread; see Duty.
    void start() { m_duty.start(); }
    void stop() { m_duty.stop(); }

private:
    Micros round();
    void block(const std::string& request);
    void unblock(const std::string& request);

    ForwardState& m_state;
    Duty m_duty;
};

} // namespace crosslink
