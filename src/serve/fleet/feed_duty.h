// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "change_receiver.h"

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <crosslink/base/time.h>

#include <optional>

namespace crosslink
{

/// Requests changes of the platform's store where this instance has the duty,
/// or does not get them from other instances in time. Also keeps this instance
/// listed as present.
class FeedDuty
{
public:
    FeedDuty(ForwardState& state, ChangeReceiver& news);

private:
    Micros feed_round();
    std::optional<Micros> leave_to_others();
    void ask_platform();
    Micros after_failure();
    void ask_seeds();
    Micros presence_round();

    ForwardState& m_state;
    ChangeReceiver& m_news;
    /// When this instance asks the platform itself, since changes from other
    /// instances are late; empty while they are in time.
    std::optional<TimePoint> m_own_turn;
    bool m_lost = false; ///< The platform does not answer.
    Duty m_feed;
    Duty m_presence;
};

} // namespace crosslink
