// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/urgency_tracker.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr Micros long_objective = std::chrono::milliseconds(2000);
constexpr Micros short_objective = std::chrono::milliseconds(800);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_CASE("a call alone at its service is the most urgent")
{
    UrgencyTracker tracker;
    tracker.called("other", 0, short_objective, at(0));
    const Urgency urgency = tracker.called("s", 7, long_objective, at(0));
    CHECK(urgency.level == 0);
    CHECK(urgency.strictest_objective == long_objective);
}

TEST_CASE("a less urgent call is held to the objective of more urgent ones")
{
    UrgencyTracker tracker;
    tracker.called("s", 0, short_objective, at(0));
    tracker.called("s", 1, long_objective, at(0));
    const Urgency urgency = tracker.called("s", 2, long_objective, at(10));
    CHECK(urgency.level == 2);
    CHECK(urgency.strictest_objective == short_objective);
    CHECK(tracker.called("s", 0, short_objective, at(20)).level == 0);
}

TEST_CASE("priorities that no longer come do not count")
{
    UrgencyTracker tracker;
    tracker.called("s", 0, short_objective, at(0));
    CHECK(tracker.called("s", 2, long_objective, at(5000)).level == 1);
    CHECK(tracker.called("s", 2, long_objective, at(5001)).level == 0);
}

} // namespace crosslink
