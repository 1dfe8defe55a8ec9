// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <string>

namespace crosslink
{

/// While this instance holds the coordinator duty, records at the platform
/// which software versions serve and which services resumable routes have, and
/// removes the records of those that served too long ago to matter; idle
/// otherwise. Running instances see both; the record is for those that start
/// after all others are gone.
class SoftwareDuty
{
public:
    /// `state` must outlive this object.
    explicit SoftwareDuty(ForwardState& state);

    /// Starts and ends the thread; see Duty.
    void start() { m_duty.start(); }
    void stop() { m_duty.stop(); }
    /// Records versions that are listed now.
    void wake() { m_duty.wake(); }

private:
    Micros round();
    void record(const ServedSoftware& served);
    void unrecord(const std::string& id);
    void record_routes();

    ForwardState& m_state;
    Duty m_duty;
};

} // namespace crosslink
