// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/lateness_tracker.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr Micros objective = std::chrono::milliseconds(1000);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

void
answer(LatenessTracker& tracker, std::uint32_t priority, Micros late, int count)
{
    for (int i = 0; i < count; ++i)
        tracker.answered("s", priority, objective, late, at(1000));
}

} // namespace

TEST_CASE("one late answer does not refuse others")
{
    LatenessTracker tracker;
    answer(tracker, 0, 100 * objective, 1);
    CHECK(tracker.excess("s", 0, at(1000)) == Micros{0});
}

TEST_CASE("less urgent calls make room for late urgent ones, not vice versa")
{
    LatenessTracker tracker;
    answer(tracker, 1, objective, 30);
    CHECK(tracker.excess("s", 1, at(1000)) > objective / 2);
    CHECK(tracker.excess("s", 2, at(1000)) > objective / 2);
    CHECK(tracker.excess("s", 0, at(1000)) == Micros{0});
    CHECK(tracker.excess("other", 1, at(1000)) == Micros{0});
}

TEST_CASE("lateness is forgotten, so that a service without answers is tried")
{
    LatenessTracker tracker;
    answer(tracker, 0, objective, 30);
    CHECK(tracker.excess("s", 0, at(2500)) < tracker.excess("s", 0, at(1000)));
    CHECK(tracker.excess("s", 0, at(4000)) == Micros{0});
}

TEST_CASE("answers that are in time again end the lateness")
{
    LatenessTracker tracker;
    answer(tracker, 0, objective, 30);
    answer(tracker, 0, Micros{0}, 30);
    CHECK(tracker.excess("s", 0, at(1000)) == Micros{0});
}

} // namespace crosslink
