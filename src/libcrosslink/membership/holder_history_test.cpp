// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/holder_history.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr Micros grace = std::chrono::seconds(8);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

using Addresses = std::vector<std::string>;

} // namespace

TEST_CASE("earlier holders are told until their grace is over")
{
    HolderHistory history;
    history.record_gap(at(0));
    history.set_holder("a", at(0));
    CHECK(history.recent(grace, at(100)).empty());
    history.set_holder("", at(1000));
    history.set_holder("b", at(1500));
    CHECK(history.holder() == "b");
    CHECK(history.recent(grace, at(8999)) == Addresses{"a"});
    CHECK(history.recent(grace, at(9000)).empty());
}

TEST_CASE("an address that holds the duty again is no former holder")
{
    HolderHistory history;
    history.set_holder("a", at(0));
    history.set_holder("b", at(100));
    history.set_holder("a", at(200));
    CHECK(history.recent(grace, at(300)) == Addresses{"b"});
}

TEST_CASE("holders before a gap may be missed until their grace is over")
{
    HolderHistory history;
    history.record_gap(at(500));
    CHECK_FALSE(history.is_complete(grace, at(8499)));
    CHECK(history.is_complete(grace, at(8500)));
}

TEST_CASE(
    "the history of another instance shortens the wait for former holders")
{
    HolderHistory history;
    history.record_gap(at(9000));
    history.set_holder("b", at(9000));
    const std::vector<HolderHistory::Ended> ended{{"a", at(7000)}};
    history.learn(at(500), ended);
    CHECK(history.holder() == "b");
    CHECK(history.from() == at(500));
    CHECK(history.is_complete(grace, at(9000)));
    CHECK(history.recent(grace, at(9000)) == Addresses{"a"});
    CHECK(history.recent(grace, at(15'000)).empty());
}

TEST_CASE("what an instance saw that missed more says nothing")
{
    HolderHistory history;
    history.record_gap(at(1000));
    history.set_holder("a", at(1000));
    history.set_holder("b", at(2000));
    history.learn(at(1500), {});
    CHECK(history.from() == at(1000));
    CHECK(history.recent(grace, at(3000)) == Addresses{"a"});
    const std::vector<HolderHistory::Ended> earlier{{"a", at(600)}};
    history.learn(at(100), earlier);
    CHECK(history.recent(grace, at(9500)) == Addresses{"a"});
}

} // namespace crosslink
