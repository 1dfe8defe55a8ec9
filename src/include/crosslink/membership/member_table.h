// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/gossip.h>
#include <crosslink/membership/member.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// How membership is kept, in the manner of SWIM: each instance pings one
/// other a period, and news travels on pings, a few times each.
struct MembershipRules {
    Micros ping_period = std::chrono::seconds(1);
    /// A suspect that does not refute in this time is taken for dead.
    Micros suspect_time = std::chrono::seconds(6);
    /// A dead member is remembered this long, so that old news can't bring it
    /// back.
    Micros dead_memory = std::chrono::minutes(5);
    /// Most members told of in one message.
    std::size_t news_per_message = 12;
    /// A piece of news is told this often, times log2 of the fleet's size.
    std::uint32_t retransmit_factor = 3;
};

/// The entry instances that this one knows. A plain state machine: time,
/// random bits and messages are handed in.
class MemberTable
{
public:
    /// `self` must be Alive; its incarnation is raised as needed.
    MemberTable(Member self, MembershipRules rules);

    const Member& self() const { return m_self; }
    /// Sets what the others are told of this instance.
    void set_revision(std::uint64_t revision);
    /// Tells the others that this instance leaves.
    void leave();

    /// Adds the address of a possible member, from settings or the platform's
    /// list; it becomes a member once it answers.
    void add_seed(std::string_view address);
    /// Returns the address to ping now; `random` picks it. Nothing where
    /// there is nobody.
    std::optional<std::string> ping_target(std::uint64_t random) const;
    /// Returns the message for the next ping or answer to `address`. A member
    /// that is suspected is always told so, which lets it refute.
    GossipMessage message_to(std::string_view address);
    /// Takes in a message, as ping or as answer, at `now`.
    void receive(const GossipMessage& message, TimePoint now);
    /// Takes note that a ping to `address` was not answered.
    void ping_failed(std::string_view address, TimePoint now);
    /// Turns suspects into dead ones, and forgets those dead for long.
    void tick(TimePoint now);

    /// Returns the members that may be spoken to, this one included: alive
    /// and suspect ones.
    std::vector<Member> live() const;
    /// Returns all members, as `status` shows them, this one included.
    std::vector<Member> all() const;
    /// Returns the live ones of `zone`.
    std::vector<Member> live_in(std::string_view zone) const;
    /// Returns the highest revision that any live member has told, and by
    /// whom it was told.
    std::optional<Member> newest_revision() const;

private:
    struct Entry {
        Member member;
        TimePoint since; ///< When it took this state here.
        std::uint32_t tellings = 0;
    };

    void take(const Member& told, TimePoint now);
    void bury_predecessors(const Member& sender, TimePoint now);
    void refute(const Member& told);
    std::uint32_t tellings_now() const;

    Member m_self;
    const MembershipRules m_rules;
    std::map<std::string, Entry, std::less<>> m_members; ///< By id.
    std::vector<std::string> m_seeds;
};

/// Returns the order in which news of one member overrides other news: the
/// incarnation first, then the graver state.
bool overrides(const Member& news, const Member& known);

} // namespace crosslink
