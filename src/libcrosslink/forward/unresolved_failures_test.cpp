// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_history.h>
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
failed_call(const std::string& request, const std::string& runner, int millis)
{
    return {{{request, false}}, runner, 1, "a:" + runner, at(millis), true};
}

} // namespace

TEST_CASE("failed calls of a process count once its end is known")
{
    UnresolvedFailures failures;
    CHECK_FALSE(failures.add(failed_call("d1", "r1", 0), at(0)));
    CHECK_FALSE(failures.add(failed_call("d2", "r1", 10), at(10)));
    CHECK_FALSE(failures.add(failed_call("d3", "r2", 20), at(20)));
    CHECK(failures.has("d1", at(20)));
    CHECK(failures.ended({"r1", 2}, at(1000)).empty());
    const auto calls = failures.ended({"r1", 1}, at(2000));
    REQUIRE(calls.size() == 2);
    // An answer that came meanwhile still proves the request harmless.
    CHECK(calls[0].ended_at == at(0));
    CHECK_FALSE(failures.has("d1", at(2000)));
    CHECK(failures.has("d3", at(2000)));
    // A failure that is reported later counts at once.
    CHECK(failures.add(failed_call("d4", "r1", 2010), at(2010)));
    CHECK(failures.ended({"r1", 1}, at(2010)).size() == 1);
}

TEST_CASE("a request that a process broke several times counts as one end")
{
    UnresolvedFailures failures;
    failures.add(failed_call("d", "r", 0), at(0));
    UnresolvedFailure again = failed_call("d", "r", 1500);
    again.keys.front().again = true;
    failures.add(again, at(1500));
    const auto calls = failures.ended({"r", 1}, at(2500));
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
    UnresolvedFailures failures;
    failures.add(failed_call("d", "r", 0), at(0));
    CHECK_FALSE(failures.has("d", at(6000)));
    CHECK(failures.ended({"r", 1}, at(6000)).empty());
}

TEST_CASE("a process that answers later calls, or leaves, has not ended")
{
    UnresolvedFailures failures;
    failures.add(failed_call("d", "r", 0), at(0));
    failures.lives({"r", 1}, at(0));
    CHECK(failures.has("d", at(1)));
    failures.lives({"r", 1}, at(5));
    CHECK(failures.empty());
    failures.add(failed_call("d", "r", 10), at(10));
    failures.leaves({"r", 1});
    CHECK(failures.empty());
}

TEST_CASE("a new process at the address tells that the one before ended")
{
    UnresolvedFailures failures;
    failures.add(failed_call("d1", "r1", 0), at(0));
    failures.add(failed_call("d2", "r1", 0), at(0));
    failures.add(failed_call("d3", "r2", 0), at(0));
    CHECK(failures.replaced_at("a:r1", {"r1", 1}, at(50)).empty());
    CHECK(failures.replaced_at("a:r1", {"other", 1}, at(50)).size() == 2);
    CHECK(failures.replaced_at("a:r2", {"r2", 7}, at(50)).size() == 1);
    CHECK(failures.empty());
}

TEST_CASE("a runner that goes by itself ended, a zone that goes did not")
{
    UnresolvedFailures failures;
    failures.add(failed_call("d", "r", 0), at(0));
    failures.gone({"r", 1}, "z", 6, at(1000));
    CHECK(failures.take_gone(at(1400)).empty());
    CHECK(failures.next_due() == at(250));
    CHECK(failures.take_gone(at(2500)).size() == 1);

    UnresolvedFailures cut;
    cut.add(failed_call("d", "r", 0), at(0));
    cut.gone({"r", 1}, "z", 6, at(1000));
    for (const char* other : {"r2", "r3"})
        cut.gone({other, 1}, "z", 5, at(1900));
    CHECK(cut.take_gone(at(2500)).empty());
    CHECK(cut.has("d", at(2500)));
}

TEST_CASE("a port is probed a few times, however many calls failed there")
{
    UnresolvedFailures failures;
    for (int i = 0; i < 20; ++i)
        failures.add(failed_call("d" + std::to_string(i), "r", 10 * i),
                     at(10 * i));
    UnresolvedFailure failed = failed_call("d", "other", 0);
    failed.probes_port = false;
    failures.add(failed, at(0));
    CHECK(failures.take_due(at(200)).empty());
    int probes = 0;
    for (int ms = 200; ms < 6000; ms += 10)
        for (const ProbeTarget& port : failures.take_due(at(ms))) {
            CHECK(port.runner == "r");
            CHECK(port.address == "a:r");
            ++probes;
        }
    CHECK(probes >= 4);
    CHECK(probes <= 6);
    CHECK_FALSE(failures.next_due());
}

TEST_CASE("the number of undecided failures is bounded, and the newest stay")
{
    UnresolvedFailures failures;
    for (std::size_t i = 0; i < 2 * UnresolvedFailures::max_open; ++i)
        failures.add(failed_call("d" + std::to_string(i), "r", 0), at(0));
    CHECK(failures.ended({"r", 1}, at(10)).size() ==
          UnresolvedFailures::max_open);
}

} // namespace crosslink
