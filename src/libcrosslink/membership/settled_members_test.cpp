// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/settled_members.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace crosslink
{

namespace
{

constexpr Micros settle = std::chrono::milliseconds(2000);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

InstanceInfo
instance(const std::string& name, const std::string& zone = "a")
{
    return {name, "127.0.0.1:1", zone, 0};
}

/// Returns those of `names` that are among the first `most` for "key" in zone
/// a.
std::set<std::string>
sharers(const SettledMembers& members, const std::set<std::string>& names,
        std::size_t most, int millis)
{
    std::set<std::string> result;
    for (const std::string& name : names)
        if (members.has_share(name, "key", "a", most, at(millis)))
            result.insert(name);
    return result;
}

const std::set<std::string> five{"i1", "i2", "i3", "i4", "i5"};

SettledMembers
five_members()
{
    SettledMembers members(settle);
    for (const std::string& name : five)
        members.listed(instance(name), at(0));
    return members;
}

} // namespace

TEST_CASE("the holders of a share are those that may take it")
{
    SettledMembers members = five_members();
    members.listed(instance("other", "b"), at(0));
    members.listed(instance("young"), at(4500));
    members.gone("i3", at(4600));
    for (const std::size_t most : {1U, 2U, 3U, 9U}) {
        INFO(most << " instances");
        const auto& holders = members.holders("key", "a", most, at(5000));
        CHECK(std::set<std::string>(holders.begin(), holders.end()) ==
              sharers(members, {"i1", "i2", "i3", "i4", "i5", "other", "young"},
                      most, 5000));
    }
    // The change counts at once, whatever was asked before.
    members.gone("i1", at(5100));
    const auto& holders = members.holders("key", "a", 9, at(5100));
    CHECK(std::count(holders.begin(), holders.end(), "i1") == 0);
}

TEST_CASE("as many instances take a share as the number allows")
{
    const SettledMembers members = five_members();
    CHECK(sharers(members, five, 2, 5000).size() == 2);
    CHECK(sharers(members, five, 9, 5000).size() == 5);
    CHECK(members.count("a", at(5000)) == 5);
}

TEST_CASE("an instance that joined takes its share after the settling time")
{
    const SettledMembers members = five_members();
    CHECK(sharers(members, five, 9, 1999).empty());
    CHECK(sharers(members, five, 9, 2000).size() == 5);
    CHECK_FALSE(members.has_share("unlisted", "key", "a", 9, at(5000)));
}

TEST_CASE(
    "the share of an instance that left is free only after the settling time")
{
    SettledMembers members = five_members();
    const auto before = sharers(members, five, 2, 5000);
    const std::string left = *before.begin();
    members.gone(left, at(5000));
    CHECK(sharers(members, five, 2, 6999).size() == 1);
    CHECK(members.count("a", at(6999)) == 5);
    const auto after = sharers(members, five, 2, 7000);
    CHECK(after.size() == 2);
    CHECK_FALSE(after.contains(left));
    CHECK(members.count("a", at(7000)) == 4);
}

TEST_CASE("an instance that left and joined again waits like a new one")
{
    SettledMembers members = five_members();
    members.gone("i1", at(5000));
    members.listed(instance("i1"), at(5500));
    CHECK_FALSE(members.has_share("i1", "key", "a", 9, at(7000)));
    CHECK(members.has_share("i1", "key", "a", 9, at(7500)));
}

TEST_CASE("instances that are missing from a complete list count as gone")
{
    SettledMembers members = five_members();
    members.keep_only({"i1", "i2"}, at(5000));
    CHECK(members.count("a", at(5000)) == 5);
    CHECK(members.count("a", at(7000)) == 2);
}

TEST_CASE("where a zone has no instance, those of all zones count")
{
    SettledMembers members(settle);
    members.listed(instance("i1", "b"), at(0));
    members.listed(instance("i2", "c"), at(0));
    CHECK(sharers(members, five, 9, 5000).size() == 2);
    members.listed(instance("i3", "a"), at(5000));
    CHECK(sharers(members, five, 9, 6000).empty());
    CHECK(sharers(members, five, 9, 7000) == std::set<std::string>{"i3"});
}

TEST_CASE("a start or a loss of many instances costs by their number")
{
    for (const int size : {100, 1000, 2000}) {
        SettledMembers members(settle);
        for (int i = 0; i < size; ++i)
            members.listed(instance("i" + std::to_string(i)), at(0));
        CHECK(members.members_visited() == 0);
        const int lost = size / 2;
        for (int i = 0; i < lost; ++i)
            members.gone("i" + std::to_string(i), at(10));
        for (int i = 0; i < lost; ++i)
            members.listed(instance("again-" + std::to_string(i)), at(20));
        CHECK(members.members_visited() == 0);
        // Those that left are dropped once, when they no longer count.
        for (int i = 0; i < lost; ++i)
            members.listed(instance("again-" + std::to_string(i)), at(5000));
        CHECK(members.members_visited() <= static_cast<std::uint64_t>(lost));
        CHECK(members.count("a", at(9000)) == static_cast<std::size_t>(size));
    }
}

} // namespace crosslink
