// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/stale_parts.h>

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
std::vector<StalePart>
take_due(StaleParts& stale_parts, TimePoint now)
{
    return stale_parts.take_due(
        [now](const StalePart& stale) { return now >= stale.due; }, now);
}

} // namespace

TEST_CASE("a stale part is freed once")
{
    StaleParts stale_parts;
    stale_parts.add("store", key, 160, at(1000));
    CHECK(take_due(stale_parts, at(999)).empty());
    const auto due = take_due(stale_parts, at(1000));
    REQUIRE(due.size() == 1);
    CHECK(due[0].store == "store");
    CHECK(due[0].key == key);
    CHECK(due[0].tokens == 160);
    CHECK(take_due(stale_parts, at(1001)).empty());
}

TEST_CASE("a stale part is recorded until its store must have freed it")
{
    StaleParts stale_parts;
    stale_parts.add("store", key, 160, at(0));
    CHECK(take_due(stale_parts, at(0)).size() == 1);
    CHECK(take_due(stale_parts, at(2999)).empty());
    CHECK(stale_parts.contains("store", key));
    CHECK_FALSE(stale_parts.contains("other", key));
    CHECK(take_due(stale_parts, at(3000)).empty());
    CHECK_FALSE(stale_parts.contains(key));
}

TEST_CASE("a stale part that is recorded already stays unchanged")
{
    StaleParts stale_parts;
    stale_parts.add("store", key, 160, at(1000));
    stale_parts.add("store", key, 320, at(5000));
    const auto due = take_due(stale_parts, at(1000));
    REQUIRE(due.size() == 1);
    CHECK(due[0].tokens == 160);
}

TEST_CASE("the stale parts in stores that are gone are removed")
{
    StaleParts stale_parts;
    stale_parts.add("store", key, 160, at(0));
    stale_parts.add("other", key, 160, at(0));
    stale_parts.remove_stores(
        [](const std::string& store) { return store == "store"; });
    CHECK_FALSE(stale_parts.contains("store", key));
    CHECK(stale_parts.contains("other", key));
    stale_parts.clear();
    CHECK_FALSE(stale_parts.contains(key));
}

} // namespace crosslink
