// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/fair_share_tracker.h>

#include <catch2/catch.hpp>

#include <string>

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

TEST_CASE("an account is judged by what it gets at all instances")
{
    FairShareTracker tracker;
    for (const char* account : {"large", "small"}) {
        tracker.asked("s", account, at(0));
        tracker.taken("s", account, 1, at(0));
    }
    CHECK_FALSE(tracker.is_ahead("s", "large", at(0)));
    FairShareTracker other;
    other.asked("s", "large", at(0));
    other.taken("s", "large", 20, at(0));
    other.asked("another", "small", at(0));
    other.taken("another", "small", 90, at(0));
    tracker.set_others(other.report(at(0)), at(0));
    CHECK(tracker.is_ahead("s", "large", at(100)));
    CHECK_FALSE(tracker.is_ahead("s", "small", at(100)));
    // What others reported is soon too old to judge by.
    CHECK_FALSE(tracker.is_ahead("s", "large", at(2000)));
}

TEST_CASE("an account alone at a service is never above its share")
{
    FairShareTracker tracker;
    for (int i = 0; i < 100; ++i) {
        tracker.asked("s", "only", at(i));
        tracker.taken("s", "only", 1, at(i));
    }
    CHECK_FALSE(tracker.is_ahead("s", "only", at(100)));
}

TEST_CASE("what is reported of accounts is bounded, the largest first")
{
    FairShareTracker tracker;
    for (int i = 0; i < 333; ++i) {
        const std::string account = "a" + std::to_string(i);
        tracker.asked("s", account, at(0));
        tracker.taken("s", account, i, at(0));
    }
    const AccountUsages report = tracker.report(at(0));
    CHECK(report.size() == FairShareTracker::max_reported);
    CHECK(report.contains(usage_key("s", "a332")));
    CHECK_FALSE(report.contains(usage_key("s", "a1")));
}

} // namespace crosslink
