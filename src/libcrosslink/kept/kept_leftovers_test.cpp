// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_leftovers.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

const KeptKey key{"space", "part"};

/// Takes the stale parts that are due at `now`.
std::vector<KeptLeftover>
take_due(KeptLeftovers& leftovers, TimePoint now)
{
    return leftovers.take_due(
        [now](const KeptLeftover& left) { return now >= left.due; }, now);
}

} // namespace

TEST_CASE("a stale part is freed once")
{
    KeptLeftovers leftovers;
    leftovers.add("store", key, 160, at(1000));
    CHECK(take_due(leftovers, at(999)).empty());
    const auto due = take_due(leftovers, at(1000));
    REQUIRE(due.size() == 1);
    CHECK(due[0].store == "store");
    CHECK(due[0].key == key);
    CHECK(due[0].tokens == 160);
    CHECK(take_due(leftovers, at(1001)).empty());
}

TEST_CASE("a stale part is recorded until its store must have freed it")
{
    KeptLeftovers leftovers;
    leftovers.add("store", key, 160, at(0));
    CHECK(take_due(leftovers, at(0)).size() == 1);
    CHECK(take_due(leftovers, at(2999)).empty());
    CHECK(leftovers.contains("store", key));
    CHECK_FALSE(leftovers.contains("other", key));
    CHECK(take_due(leftovers, at(3000)).empty());
    CHECK_FALSE(leftovers.contains(key));
}

TEST_CASE("a stale part that is recorded already stays unchanged")
{
    KeptLeftovers leftovers;
    leftovers.add("store", key, 160, at(1000));
    leftovers.add("store", key, 320, at(5000));
    const auto due = take_due(leftovers, at(1000));
    REQUIRE(due.size() == 1);
    CHECK(due[0].tokens == 160);
}

TEST_CASE("the stale parts in stores that are gone are removed")
{
    KeptLeftovers leftovers;
    leftovers.add("store", key, 160, at(0));
    leftovers.add("other", key, 160, at(0));
    leftovers.forget_stores(
        [](const std::string& store) { return store == "store"; });
    CHECK_FALSE(leftovers.contains("store", key));
    CHECK(leftovers.contains("other", key));
    leftovers.clear();
    CHECK_FALSE(leftovers.contains(key));
}

} // namespace crosslink
