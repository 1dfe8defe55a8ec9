// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/member_table.h>

#include <algorithm>
#include <bit>

namespace crosslink
{

namespace
{

bool
is_live(const Member& member)
{
    return member.state == MemberState::Alive ||
           member.state == MemberState::Suspect;
}

/// Returns the precedence of a state. Leaving overrides Suspect, since the
/// member itself announced it; only Dead overrides both.
int
precedence(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        break;
    }
    return 3;
}

} // namespace

bool
overrides(const Member& update, const Member& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    if (update.state != known.state)
        return precedence(update.state) > precedence(known.state);
    return update.revision > known.revision;
}

MemberTable::MemberTable(Member self, MembershipRules rules)
    : m_self(std::move(self)), m_rules(rules)
{
}

std::uint32_t
MemberTable::sends_per_update() const
{
    const auto size = std::max<std::size_t>(m_members.size() + 1, 2);
    return m_rules.retransmit_factor *
           static_cast<std::uint32_t>(std::bit_width(size));
}

void
MemberTable::set_revision(std::uint64_t revision)
{
    if (revision <= m_self.revision)
        return;
    m_self.revision = revision;
}

void
MemberTable::leave()
{
    m_self.state = MemberState::Leaving;
    ++m_self.incarnation;
}

void
MemberTable::add_seed(std::string_view address)
{
    if (address == m_self.address)
        return;
    if (std::find(m_seeds.begin(), m_seeds.end(), address) == m_seeds.end())
        m_seeds.emplace_back(address);
}

std::optional<std::string>
MemberTable::ping_target(std::uint64_t random) const
{
    std::vector<std::string> targets;
    std::vector<std::string> unknown = m_seeds;
    for (const auto& [id, entry] : m_members) {
        std::erase(unknown, entry.member.address);
        if (is_live(entry.member))
            targets.push_back(entry.member.address);
    }
    targets.insert(targets.end(), unknown.begin(), unknown.end());
    if (targets.empty())
        return std::nullopt;
    return targets[random % targets.size()];
}

GossipMessage
MemberTable::message_to(std::string_view address)
{
    GossipMessage result;
    result.sender = m_self;
    std::vector<Entry*> pending;
    for (auto& [id, entry] : m_members)
        if (entry.sends_left > 0)
            pending.push_back(&entry);
    // Updates with the most sends left go first, so that none is starved.
    std::stable_sort(pending.begin(), pending.end(),
                     [](const Entry* one, const Entry* other) {
                         return one->sends_left > other->sends_left;
                     });
    if (pending.size() > m_rules.max_updates_per_message)
        pending.resize(m_rules.max_updates_per_message);
    for (Entry* entry : pending) {
        --entry->sends_left;
        result.news.push_back(entry->member);
    }
    for (const auto& [id, entry] : m_members)
        if (entry.member.address == address &&
            entry.member.state == MemberState::Suspect)
            result.news.push_back(entry.member);
    return result;
}

void
MemberTable::receive(const GossipMessage& message, TimePoint now)
{
    mark_predecessors_dead(message.sender, now);
    apply(message.sender, now);
    for (const Member& update : message.news)
        apply(update, now);
}

void
MemberTable::mark_predecessors_dead(const Member& sender, TimePoint now)
{
    // An address belongs to one process: an earlier member at it is gone.
    for (auto& [id, entry] : m_members) {
        const bool same = entry.member.address == sender.address;
        if (!same || id == sender.id || entry.member.state == MemberState::Dead)
            continue;
        entry.member.state = MemberState::Dead;
        entry.since = now;
        entry.sends_left = sends_per_update();
    }
}

void
MemberTable::refute(const Member& update)
{
    if (update.incarnation < m_self.incarnation)
        return;
    const bool agrees = update.state == m_self.state;
    if (agrees && update.incarnation == m_self.incarnation)
        return;
    m_self.incarnation = update.incarnation + 1;
}

void
MemberTable::apply(const Member& update, TimePoint now)
{
    if (update.id == m_self.id) {
        refute(update);
        return;
    }
    const auto found = m_members.find(update.id);
    if (found == m_members.end()) {
        if (update.state != MemberState::Dead)
            m_members.emplace(update.id,
                              Entry{update, now, sends_per_update()});
        return;
    }
    Entry& entry = found->second;
    if (!overrides(update, entry.member))
        return;
    const std::uint64_t revision =
        std::max(update.revision, entry.member.revision);
    if (entry.member.state != update.state)
        entry.since = now;
    entry.member = update;
    entry.member.revision = revision;
    entry.sends_left = sends_per_update();
}

void
MemberTable::ping_failed(std::string_view address, TimePoint now)
{
    for (auto& [id, entry] : m_members) {
        if (entry.member.address != address)
            continue;
        if (entry.member.state != MemberState::Alive)
            continue;
        entry.member.state = MemberState::Suspect;
        entry.since = now;
        entry.sends_left = sends_per_update();
    }
}

void
MemberTable::tick(TimePoint now)
{
    for (auto& [id, entry] : m_members) {
        const bool expired = now - entry.since >= m_rules.suspect_timeout;
        const bool can_expire = entry.member.state == MemberState::Suspect ||
                                entry.member.state == MemberState::Leaving;
        if (!can_expire || !expired)
            continue;
        // A leaving member still finishes its answers, but gets no requests;
        // after this time it counts as gone.
        entry.member.state = MemberState::Dead;
        entry.since = now;
        entry.sends_left = sends_per_update();
    }
    std::erase_if(m_members, [&](const auto& item) {
        const Entry& entry = item.second;
        return entry.member.state == MemberState::Dead &&
               now - entry.since >= m_rules.dead_retention;
    });
}

std::vector<Member>
MemberTable::live() const
{
    std::vector<Member> result{m_self};
    for (const auto& [id, entry] : m_members)
        if (is_live(entry.member))
            result.push_back(entry.member);
    return result;
}

std::vector<Member>
MemberTable::all() const
{
    std::vector<Member> result{m_self};
    for (const auto& [id, entry] : m_members)
        result.push_back(entry.member);
    return result;
}

std::vector<Member>
MemberTable::live_in(std::string_view zone) const
{
    std::vector<Member> result = live();
    std::erase_if(result,
                  [zone](const Member& member) { return member.zone != zone; });
    return result;
}

std::optional<Member>
MemberTable::newest_revision() const
{
    std::optional<Member> newest;
    for (const auto& [id, entry] : m_members) {
        if (!is_live(entry.member))
            continue;
        if (!newest || entry.member.revision > newest->revision)
            newest = entry.member;
    }
    return newest;
}

} // namespace crosslink
