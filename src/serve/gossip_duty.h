// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <cstdint>

namespace crosslink
{

/// Keeps the membership: one exchange with one other instance a period, and a
/// few at once where there is news that must spread fast.
class GossipDuty
{
public:
    explicit GossipDuty(InstanceState& state);
    ~GossipDuty();
    GossipDuty(const GossipDuty&) = delete;
    GossipDuty& operator=(const GossipDuty&) = delete;

    /// Takes in a peer's message and returns the answer to it.
    GossipMessage answer(const GossipMessage& message);
    /// Tells every live member of a planned stop.
    void announce_leaving();

private:
    Micros round();
    GossipMessage message_to(const std::string& address);
    void exchange();
    void apply(const GossipMessage& message);

    InstanceState& m_state;
    std::uint64_t m_spread_revision = 0; ///< Spread at once already.
    Duty m_duty;
};

} // namespace crosslink
