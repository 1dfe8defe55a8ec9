// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>

namespace crosslink
{

struct ForwardState;

/// Records at the platform which software began the streams of this instance
/// that callers may take up, while several versions serve: a stream goes on at
/// its software even where all instances ended in one moment. Uses a thread of
/// its own from the first time on that two versions serve.
class StreamRecordDuty
{
public:
    /// `state` must outlive this object.
    explicit StreamRecordDuty(ForwardState& state);
    ~StreamRecordDuty();

private:
    Micros round();
    bool record_open();

    ForwardState& m_state;
    TimePoint m_next{}; ///< When the record may be written again.
    Duty m_duty;
};

} // namespace crosslink
