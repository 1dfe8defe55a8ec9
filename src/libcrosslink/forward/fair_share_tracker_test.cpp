// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/fair_share_tracker.h>

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

} // namespace

TEST_CASE("an account is ahead that got more places than the mean")
{
    FairShareTracker tracker;
    for (const char* account : {"a", "b"})
        tracker.asked("s", account, at(100'000));
    CHECK_FALSE(tracker.is_ahead("s", "a", at(100'000)));
    tracker.taken("s", "a", 1, at(100'000));
    CHECK(tracker.is_ahead("s", "a", at(100'000)));
    CHECK_FALSE(tracker.is_ahead("s", "b", at(100'000)));
    CHECK_FALSE(tracker.is_ahead("other", "a", at(100'000)));
    tracker.taken("s", "b", 1, at(100'010));
    CHECK_FALSE(tracker.is_ahead("s", "a", at(100'010)));
}

TEST_CASE("an account is not ahead of those that ask for nothing")
{
    FairShareTracker tracker;
    tracker.asked("s", "b", at(100'000));
    tracker.asked("s", "a", at(106'000));
    tracker.taken("s", "a", 1, at(106'000));
    CHECK_FALSE(tracker.is_ahead("s", "a", at(106'000)));
}

TEST_CASE("places granted long ago do not count")
{
    FairShareTracker tracker;
    tracker.taken("s", "a", 1, at(0));
    for (const char* account : {"a", "b"})
        tracker.asked("s", account, at(100'000));
    CHECK_FALSE(tracker.is_ahead("s", "a", at(100'000)));
}

} // namespace crosslink
