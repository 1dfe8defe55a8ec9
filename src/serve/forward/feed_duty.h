// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "steward.h"

#include <serve/duty.h>

#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>

namespace crosslink
{

/// Follows what the platform tells the fleet, and keeps this instance listed
/// as present.
class FeedDuty
{
public:
    FeedDuty(ForwardState& state, Steward& steward);

private:
    Micros feed_round();
    void ask_seeds();
    Micros presence_round();

    ForwardState& m_state;
    Steward& m_steward;
    std::optional<std::uint64_t> m_place; ///< Nothing before the first read.
    bool m_lost = false;                  ///< The platform does not answer.
    TimePoint m_lapsed_until{}; ///< Runners that are not listed may be well.
    Duty m_feed;
    Duty m_presence;
};

} // namespace crosslink
