// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/member_table.h>

#include <catch2/catch.hpp>

#include <deque>
#include <random>

namespace crosslink
{

namespace
{

constexpr int fleet_size = 40;

Member
member(int number, const std::string& suffix = "")
{
    Member result;
    result.id = "id" + std::to_string(number) + suffix;
    result.address = "a" + std::to_string(number);
    result.zone = "z" + std::to_string(number % 3);
    return result;
}

/// Members that exchange messages by calls instead of sockets.
class InProcessFleet
{
public:
    InProcessFleet()
    {
        for (int i = 0; i < fleet_size; ++i) {
            m_tables.emplace_back(member(i), MembershipRules{});
            m_tables.back().add_seed("a0");
        }
    }

    /// One period: every member that is up pings one other.
    void round()
    {
        now += std::chrono::seconds(1);
        for (int i = 0; i < fleet_size; ++i) {
            if (i == down)
                continue;
            m_tables[i].tick(now);
            const auto target = m_tables[i].ping_target(m_random());
            if (!target)
                continue;
            const int other = std::stoi(target->substr(1));
            const GossipMessage message = m_tables[i].message_to(*target);
            if (other == down) {
                m_tables[i].ping_failed(*target, now);
                continue;
            }
            m_tables[other].receive(message, now);
            m_tables[i].receive(
                m_tables[other].message_to(message.sender.address), now);
        }
    }

    /// Returns the number of rounds until `done` holds, or -1.
    template<typename Done> int rounds_until(Done done, int most)
    {
        for (int i = 0; i <= most; ++i) {
            if (done())
                return i;
            round();
        }
        return -1;
    }

    bool all_see(std::size_t count)
    {
        for (int i = 0; i < fleet_size; ++i)
            if (i != down && m_tables[i].live().size() != count)
                return false;
        return true;
    }

    bool all_know_revision(std::uint64_t revision)
    {
        for (int i = 1; i < fleet_size; ++i)
            if (m_tables[i].newest_revision()->revision != revision)
                return false;
        return true;
    }

    MemberTable& table(int number) { return m_tables[number]; }

    TimePoint now{};
    int down = -1;

private:
    std::deque<MemberTable> m_tables;
    std::mt19937_64 m_random{7};
};

} // namespace

TEST_CASE(
    "members that know one seed find all others, and a dead one is removed")
{
    InProcessFleet fleet;
    REQUIRE(fleet.rounds_until([&] { return fleet.all_see(fleet_size); }, 60) >=
            0);
    fleet.down = 5;
    CHECK(fleet.rounds_until([&] { return fleet.all_see(fleet_size - 1); },
                             60) >= 0);
}

TEST_CASE("a revision reaches all members")
{
    InProcessFleet fleet;
    REQUIRE(fleet.rounds_until([&] { return fleet.all_see(fleet_size); }, 60) >=
            0);
    fleet.table(0).set_revision(7);
    CHECK(fleet.rounds_until([&] { return fleet.all_know_revision(7); }, 30) >=
          0);
}

TEST_CASE("a suspect that is alive refutes the suspicion")
{
    MemberTable one(member(1), {});
    MemberTable two(member(2), {});
    TimePoint now{};
    one.receive(two.message_to("a1"), now);
    one.ping_failed("a2", now);
    two.receive(one.message_to("a2"), now);
    one.receive(two.message_to("a1"), now);
    one.tick(now + std::chrono::minutes(1));
    CHECK(one.live().size() == 2);
}

TEST_CASE("a stale update does not revive a dead member")
{
    MemberTable one(member(1), {});
    MemberTable two(member(2), {});
    TimePoint now{};
    const GossipMessage old = two.message_to("a1");
    one.receive(old, now);
    one.ping_failed("a2", now);
    one.tick(now + std::chrono::seconds(10));
    REQUIRE(one.live().size() == 1);
    one.receive(old, now + std::chrono::seconds(11));
    CHECK(one.live().size() == 1);
}

TEST_CASE("a new process at an address buries the one before")
{
    MemberTable one(member(1), {});
    MemberTable before(member(2, "-old"), {});
    MemberTable after(member(2, "-new"), {});
    one.receive(before.message_to("a1"), {});
    one.receive(after.message_to("a1"), {});
    const auto live = one.live();
    REQUIRE(live.size() == 2);
    CHECK(live[1].id == "id2-new");
}

} // namespace crosslink
