// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "change_receiver.h"

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <crosslink/base/time.h>
#include <crosslink/membership/reread_plan.h>
#include <crosslink/membership/start_plan.h>

#include <optional>
#include <string>

namespace crosslink
{

/// Requests changes of the platform's store where this instance has the duty,
/// or does not get them from other instances in time. Also keeps this instance
/// listed as present.
class FeedDuty
{
public:
    FeedDuty(ForwardState& state, ChangeReceiver& changes);

private:
    Micros feed_round();
    Micros learn_first();
    void read_unless_large();
    void read_all();
    void ask_holder(const std::string& holder);
    void set_holder(const std::string& address);
    std::optional<Micros> wait_for_peers();
    Micros random_delay();
    void ask_platform();
    Micros longest_wait() const;
    RereadRole reread_role();
    Micros failure_pause();
    void ask_seeds();
    Micros presence_round();

    ForwardState& m_state;
    ChangeReceiver& m_changes;
    StartPlan m_start;
    RereadPlan m_reread;
    /// When this instance asks the platform itself, since changes from other
    /// instances are late; empty while they are in time.
    std::optional<TimePoint> m_ask_platform_at;
    bool m_platform_lost = false; ///< The platform does not answer.
    /// Whether the platform still answers is not known.
    bool m_unconfirmed = false;
    Duty m_feed;
    Duty m_presence;
};

} // namespace crosslink
