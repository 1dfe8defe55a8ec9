// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange.h"
#include "forward_state.h"
#include "steward_link.h"

#include <serve/duty.h>

namespace crosslink
{

/// Tells the holder of the duty which load this instance gives to runners.
/// Learns that of the others, which runners load new weights, and where parts
/// of prompts are kept.
class ExchangeDuty
{
public:
    ExchangeDuty(ForwardState& state, StewardLink& steward);

private:
    Micros round();
    ExchangeQuestion question();
    void take(const ExchangeAnswer& answer, TimePoint asked);
    void ask_for_holder();

    ForwardState& m_state;
    StewardLink& m_steward;
    int m_failures = 0; ///< In a row.
    Duty m_duty;
};

} // namespace crosslink
