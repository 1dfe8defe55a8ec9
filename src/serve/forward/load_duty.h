// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "steward_link.h"

#include <serve/duty.h>

namespace crosslink
{

/// Tells the load that this instance gives to runners, and learns that of
/// the others and which runners load new weights.
class LoadDuty
{
public:
    LoadDuty(ForwardState& state, StewardLink& steward);

private:
    Micros round();

    ForwardState& m_state;
    StewardLink& m_steward;
    Duty m_duty;
};

} // namespace crosslink
