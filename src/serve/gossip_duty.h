// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <cstdint>

namespace crosslink
{

/// Maintains the membership by gossip: one exchange with one other instance in
/// each period, and several at once for a new configuration revision.
class GossipDuty
{
public:
    explicit GossipDuty(InstanceState& state);
    ~GossipDuty();
    GossipDuty(const GossipDuty&) = delete;
    GossipDuty& operator=(const GossipDuty&) = delete;

    /// Applies a peer's message and returns the reply to it.
    GossipMessage answer(const GossipMessage& message);
    /// Marks this instance as leaving and sends that to every live member.
    void announce_leaving();

private:
    Micros round();
    GossipMessage message_to(const std::string& address);
    void exchange();
    void apply(const GossipMessage& message);

    InstanceState& m_state;
    /// Last revision that was sent in extra exchanges.
    std::uint64_t m_spread_revision = 0;
    Duty m_duty;
};

} // namespace crosslink
