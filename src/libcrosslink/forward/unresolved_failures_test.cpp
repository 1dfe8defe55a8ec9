// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/unresolved_failures.h>

#include <crosslink/forward/runner_entry.h>

#include <catch2/catch.hpp>

#include <string>

namespace crosslink
{

namespace
{

TimePoint
at(int millis)
{
    return TimePoint{} + std::chrono::hours(1) +
           std::chrono::milliseconds(millis);
}

/// A call of `request` that failed at `runner`, which was started at 1.
UnresolvedFailure
broken(const std::string& request, const std::string& runner, int millis)
{
    return {request, runner, 1, "a:" + runner, false, at(millis), true};
}

} // namespace

TEST_CASE("failed calls of a process count once its end is known")
{
    UnresolvedFailures breaks;
    CHECK_FALSE(breaks.add(broken("d1", "r1", 0), at(0)));
    CHECK_FALSE(breaks.add(broken("d2", "r1", 10), at(10)));
    CHECK_FALSE(breaks.add(broken("d3", "r2", 20), at(20)));
    CHECK(breaks.has("d1", at(20)));
    CHECK(breaks.ended({"r1", 2}, at(1000)).empty());
    const auto calls = breaks.ended({"r1", 1}, at(2000));
    REQUIRE(calls.size() == 2);
    // An answer that came meanwhile still proves the request harmless.
    CHECK(calls[0].ended_at == at(0));
    CHECK_FALSE(breaks.has("d1", at(2000)));
    CHECK(breaks.has("d3", at(2000)));
    // A failure that is reported later counts at once.
    CHECK(breaks.add(broken("d4", "r1", 2010), at(2010)));
    CHECK(breaks.ended({"r1", 1}, at(2010)).size() == 1);
}

TEST_CASE("a request that a process broke several times counts as one end")
{
    UnresolvedFailures breaks;
    breaks.add(broken("d", "r", 0), at(0));
    UnresolvedFailure again = broken("d", "r", 1500);
    again.again = true;
    breaks.add(again, at(1500));
    const auto calls = breaks.ended({"r", 1}, at(2500));
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].ended_at == at(0));
    CHECK(calls[0].again);
    // It is also one end if two instances saw it.
    CrashHistory history;
    CHECK(history.ended(calls[0], at(2500)));
    InterruptedCall other = calls[0];
    other.ended_at = at(1800);
    CHECK_FALSE(history.ended(other, at(2600)));
}

TEST_CASE("a failure without a decision in time does not count as an end")
{
    UnresolvedFailures breaks;
    breaks.add(broken("d", "r", 0), at(0));
    CHECK_FALSE(breaks.has("d", at(6000)));
    CHECK(breaks.ended({"r", 1}, at(6000)).empty());
}

TEST_CASE("a process that answers later calls, or leaves, has not ended")
{
    UnresolvedFailures breaks;
    breaks.add(broken("d", "r", 0), at(0));
    breaks.lives({"r", 1}, at(0));
    CHECK(breaks.has("d", at(1)));
    breaks.lives({"r", 1}, at(5));
    CHECK(breaks.empty());
    breaks.add(broken("d", "r", 10), at(10));
    breaks.leaves({"r", 1});
    CHECK(breaks.empty());
}

TEST_CASE("a new process at the address tells that the one before ended")
{
    UnresolvedFailures breaks;
    breaks.add(broken("d1", "r1", 0), at(0));
    breaks.add(broken("d2", "r1", 0), at(0));
    breaks.add(broken("d3", "r2", 0), at(0));
    CHECK(breaks.replaced_at("a:r1", {"r1", 1}, at(50)).empty());
    CHECK(breaks.replaced_at("a:r1", {"other", 1}, at(50)).size() == 2);
    CHECK(breaks.replaced_at("a:r2", {"r2", 7}, at(50)).size() == 1);
    CHECK(breaks.empty());
}

TEST_CASE("a runner that goes by itself ended, a zone that goes did not")
{
    UnresolvedFailures breaks;
    breaks.add(broken("d", "r", 0), at(0));
    breaks.gone({"r", 1}, "z", 6, at(1000));
    CHECK(breaks.take_gone(at(1400)).empty());
    CHECK(breaks.next_due() == at(250));
    CHECK(breaks.take_gone(at(2500)).size() == 1);

    UnresolvedFailures cut;
    cut.add(broken("d", "r", 0), at(0));
    cut.gone({"r", 1}, "z", 6, at(1000));
    for (const char* other : {"r2", "r3"})
        cut.gone({other, 1}, "z", 5, at(1900));
    CHECK(cut.take_gone(at(2500)).empty());
    CHECK(cut.has("d", at(2500)));
}

TEST_CASE("a port is probed a few times, however many calls failed there")
{
    UnresolvedFailures breaks;
    for (int i = 0; i < 20; ++i)
        breaks.add(broken("d" + std::to_string(i), "r", 10 * i), at(10 * i));
    UnresolvedFailure failed = broken("d", "other", 0);
    failed.is_looked_at = false;
    breaks.add(failed, at(0));
    CHECK(breaks.take_due(at(200)).empty());
    int looks = 0;
    for (int ms = 200; ms < 6000; ms += 10)
        for (const ProbeTarget& port : breaks.take_due(at(ms))) {
            CHECK(port.runner == "r");
            CHECK(port.address == "a:r");
            ++looks;
        }
    CHECK(looks >= 4);
    CHECK(looks <= 6);
    CHECK_FALSE(breaks.next_due());
}

TEST_CASE("the number of undecided failures is bounded, and the newest stay")
{
    UnresolvedFailures breaks;
    for (std::size_t i = 0; i < 2 * UnresolvedFailures::most_open; ++i)
        breaks.add(broken("d" + std::to_string(i), "r", 0), at(0));
    CHECK(breaks.ended({"r", 1}, at(10)).size() ==
          UnresolvedFailures::most_open);
}

} // namespace crosslink
