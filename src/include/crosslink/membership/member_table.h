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

/// Parameters of the membership protocol, which follows SWIM: in each period an
/// instance pings one other, and updates are piggybacked on the pings, each a
/// limited number of times.
struct MembershipRules {
    Micros ping_period = std::chrono::seconds(1);
    /// A suspect that does not refute within this time is declared dead.
    Micros suspect_timeout = std::chrono::seconds(6);
    /// A dead member is remembered for this time, so that stale updates can't
    /// revive it.
    Micros dead_retention = std::chrono::minutes(5);
    /// Maximum number of members reported in one message.
    std::size_t max_updates_per_message = 12;
    /// An update is sent this many times, times log2 of the fleet's size.
    std::uint32_t retransmit_factor = 3;
};

/// The entry instances that this one knows. A deterministic state machine:
/// time, random bits and messages are passed in.
class MemberTable
{
public:
    /// `self` must be Alive; its incarnation is incremented as needed.
    MemberTable(Member self, MembershipRules rules);

    const Member& self() const { return m_self; }
    /// Sets the configuration revision that this instance reports to the
    /// others; a lower one than before is ignored.
    void set_revision(std::uint64_t revision);
    /// Marks this instance as leaving in its messages to the others.
    void leave();

    /// Adds the address of a possible member, from the settings or the
    /// platform's list; it becomes a member once it answers.
    void add_seed(std::string_view address);
    /// Returns the address to ping now, selected by `random`; nothing where no
    /// other instance is known.
    std::optional<std::string> ping_target(std::uint64_t random) const;
    /// Returns the message for the next ping or answer to `address`. It always
    /// includes a suspicion of the member at that address, which lets it
    /// refute.
    GossipMessage message_to(std::string_view address);
    /// Processes the message of a ping or of an answer, received at `now`.
    void receive(const GossipMessage& message, TimePoint now);
    /// Records that a ping to `address` was not answered, which makes the
    /// member a suspect.
    void ping_failed(std::string_view address, TimePoint now);
    /// Declares suspect and leaving members dead after the suspect time, and
    /// forgets members that have been dead for long.
    void tick(TimePoint now);

    /// Returns the members that may be contacted, the alive and suspect ones,
    /// and this instance.
    std::vector<Member> live() const;
    /// Returns all members including this instance, as `status` shows them.
    std::vector<Member> all() const;
    /// Returns those of live() that are in `zone`.
    std::vector<Member> live_in(std::string_view zone) const;
    /// Returns the other live member that reports the highest configuration
    /// revision; nothing where there is none.
    std::optional<Member> newest_revision() const;

private:
    struct Entry {
        Member member;
        TimePoint since; ///< When the state was recorded here.
        std::uint32_t sends_left = 0;
    };

    void apply(const Member& update, TimePoint now);
    void mark_predecessors_dead(const Member& sender, TimePoint now);
    void refute(const Member& update);
    std::uint32_t sends_per_update() const;

    Member m_self;
    const MembershipRules m_rules;
    std::map<std::string, Entry, std::less<>> m_members; ///< By id.
    std::vector<std::string> m_seeds;
};

/// Returns whether `update` overrides what is `known` of the same member: the
/// higher incarnation wins, then the state of higher precedence, then the
/// higher revision.
bool overrides(const Member& update, const Member& known);

} // namespace crosslink
