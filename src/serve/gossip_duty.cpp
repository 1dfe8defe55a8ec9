// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "gossip_duty.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <crosslink/base/error.h>
#include <crosslink/ports/peer.h>

#include <utility>

namespace crosslink
{

namespace
{

/// Exchanges made at once for a new configuration revision.
constexpr int spread_exchanges = 3;
/// Largest number of leaving marks in one message.
constexpr std::size_t max_marks = 16;
constexpr Micros period = std::chrono::seconds(1);

} // namespace

GossipDuty::GossipDuty(InstanceState& state)
    : m_state(state), m_duty("gossip", [this] { return round(); })
{
    m_state.gossip_now.set_duty(&m_duty);
}

GossipDuty::~GossipDuty()
{
    m_state.gossip_now.set_duty(nullptr);
}

Micros
GossipDuty::round()
{
    m_state.members.with(
        [](MemberTable& table) { table.tick(monotonic_now()); });
    exchange();
    const std::uint64_t revision = m_state.configuration.revision();
    if (std::exchange(m_spread_revision, revision) != revision)
        for (int i = 1; i < spread_exchanges; ++i)
            exchange();
    // Up to a quarter of the period is added, so that the instances do not
    // exchange at the same moment.
    return period + Micros(random_bits() % (period.count() / 4));
}

GossipMessage
GossipDuty::message_to(const std::string& address)
{
    GossipMessage message = m_state.members.with(
        [&address](MemberTable& table) { return table.message_to(address); });
    const auto marks = m_state.routing.with([](Routing& routing) {
        return routing.engines.marks(monotonic_now());
    });
    for (const auto& [upstream, left] : marks) {
        if (message.marks.size() == max_marks)
            break;
        message.marks.push_back(
            {upstream, static_cast<std::uint64_t>(left.count()) / 1000});
    }
    return message;
}

void
GossipDuty::exchange()
{
    const auto target = m_state.members.with(
        [](MemberTable& table) { return table.ping_target(random_bits()); });
    if (!target)
        return;
    const GossipMessage message = message_to(*target);
    ++m_state.metrics.gossip_rounds;
    try {
        apply(m_state.clients.peer(*target)->gossip(message));
    } catch (const Error&) {
        m_state.members.with([&target](MemberTable& table) {
            table.ping_failed(*target, monotonic_now());
        });
    }
}

void
GossipDuty::apply(const GossipMessage& message)
{
    const auto newest = m_state.members.with([&](MemberTable& table) {
        table.receive(message, monotonic_now());
        return table.newest_revision();
    });
    const TimePoint now = monotonic_now();
    m_state.routing.with([&](Routing& routing) {
        for (const LeavingMark& mark : message.marks)
            routing.engines.mark_leaving(
                mark.upstream,
                now + std::chrono::milliseconds(mark.expires_in_ms));
    });
    if (newest && newest->revision > m_state.configuration.revision())
        m_state.configuration_pull.wake();
}

GossipMessage
GossipDuty::answer(const GossipMessage& message)
{
    apply(message);
    return message_to(message.sender.address);
}

void
GossipDuty::announce_leaving()
{
    const auto members = m_state.members.with([](MemberTable& table) {
        table.leave();
        return table.live();
    });
    for (const Member& member : members) {
        if (member.address == m_state.self_address())
            continue;
        const GossipMessage message = message_to(member.address);
        try {
            m_state.clients.peer(member.address)->gossip(message);
        } catch (const Error&) {
            // The member learns of the stop from other members or from the
            // platform's list.
            continue;
        }
    }
}

} // namespace crosslink
