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

/// Asks the platform what it tells the fleet, where this instance has the duty
/// or others do not tell it in time, and keeps this instance listed as present.
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
    /// When this instance asks itself, since others do not tell it in time.
    std::optional<TimePoint> m_own_turn;
    bool m_lost = false; ///< The platform does not answer.
    Duty m_feed;
    Duty m_presence;
};

} // namespace crosslink
