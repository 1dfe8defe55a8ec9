// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>

#include <crosslink/forward/stream_origins.h>

#include <span>

namespace crosslink
{

struct ForwardState;

/// Tells the homes of streams which software began them, while several versions
/// serve, or may do so unknown to this instance: a caller may take a stream up
/// at any instance, and the one that began it may be gone. An instance that
/// starts asks others for the streams whose home it is. Uses a thread of its
/// own from the first time on that it is needed.
class OriginDuty
{
public:
    /// `state` must outlive this object.
    explicit OriginDuty(ForwardState& state);
    ~OriginDuty();

private:
    Micros round();
    void ask_others();
    bool tell_untold();
    void tell(const InstanceInfo& home, std::span<const StreamOrigin> origins);

    ForwardState& m_state;
    bool m_asked = false; ///< Others were asked after the start.
    Duty m_duty;
};

} // namespace crosslink
