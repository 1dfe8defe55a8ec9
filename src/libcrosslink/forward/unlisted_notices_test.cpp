// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/unlisted_notices.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

TimePoint
at(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

RunnerNotices
leaving_since(int seconds)
{
    RunnerNotices notices;
    notices.leaving = true;
    notices.reported_at = at(seconds);
    return notices;
}

} // namespace

TEST_CASE("words of an unlisted process are given to that process alone")
{
    UnlistedNotices unlisted;
    unlisted.keep({"r", 2}, leaving_since(1));
    CHECK(unlisted.take({"other", 2}).empty());
    // A late listing of an earlier process.
    CHECK(unlisted.take({"r", 1}).empty());
    CHECK(unlisted.take({"r", 2}).leaving);
    CHECK(unlisted.take({"r", 2}).empty());
    unlisted.keep({"r", 2}, leaving_since(1));
    CHECK(unlisted.take({"r", 3}).empty());
    CHECK(unlisted.take({"r", 2}).empty());
}

TEST_CASE("words of a later process take the place of earlier ones")
{
    UnlistedNotices unlisted;
    unlisted.keep({"r", 2}, leaving_since(1));
    RunnerNotices* later = unlisted.find({"r", 3});
    REQUIRE(later);
    CHECK_FALSE(later->leaving);
    *later = leaving_since(2);
    CHECK_FALSE(unlisted.find({"r", 2}));
    unlisted.keep({"r", 2}, leaving_since(3));
    CHECK(unlisted.take({"r", 3}).reported_at == at(2));
}

TEST_CASE("words of an unlisted process are forgotten, but in its backoff")
{
    UnlistedNotices unlisted;
    unlisted.keep({"r"}, leaving_since(1));
    RunnerNotices backing_off;
    backing_off.reported_at = at(1);
    backing_off.backoff_until = at(3600);
    unlisted.keep({"s"}, backing_off);
    unlisted.expire(at(600));
    CHECK(unlisted.find({"r"})->leaving);
    unlisted.expire(at(601));
    CHECK(unlisted.take({"r"}).empty());
    CHECK(unlisted.find({"s"})->backoff_until == at(3600));
    unlisted.expire(at(3600));
    CHECK(unlisted.take({"s"}).empty());
}

} // namespace crosslink
