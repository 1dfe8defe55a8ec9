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
    history.missed(at(0));
    history.named("a", at(0));
    CHECK(history.recent(grace, at(100)).empty());
    history.named("", at(1000));
    history.named("b", at(1500));
    CHECK(history.holder() == "b");
    CHECK(history.recent(grace, at(8999)) == Addresses{"a"});
    CHECK(history.recent(grace, at(9000)).empty());
}

TEST_CASE("an address that holds the duty again is no earlier holder")
{
    HolderHistory history;
    history.named("a", at(0));
    history.named("b", at(100));
    history.named("a", at(200));
    CHECK(history.recent(grace, at(300)) == Addresses{"b"});
}

TEST_CASE("holders before a gap may be missed until their grace is over")
{
    HolderHistory history;
    history.missed(at(500));
    CHECK_FALSE(history.covers(grace, at(8499)));
    CHECK(history.covers(grace, at(8500)));
}

} // namespace crosslink
