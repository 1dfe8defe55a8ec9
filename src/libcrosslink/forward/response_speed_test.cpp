// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/response_speed.h>

#include "../testing/runners_of_a_zone.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace crosslink
{

namespace
{

using testing::at;
using testing::query;
using testing::table_of;

constexpr Micros usual = std::chrono::milliseconds(200);

/// Plays calls one after the other, 100 a second, before three runners of which
/// `slow` takes three times as long. Returns how many each gets.
std::map<std::string, int>
play(RunnerTable& table, const std::string& slow, int from_ms, int until_ms)
{
    std::map<std::string, int> calls;
    for (int ms = from_ms; ms < until_ms; ms += 10) {
        RunnerQuery asked = query(ms);
        asked.random = static_cast<std::uint64_t>(ms) * 2654435761U;
        const auto pick = table.choose(asked);
        ++calls[pick->id];
        table.answered(pick->incarnation(), usual,
                       pick->id == slow ? 3 * usual : usual, asked.now);
    }
    return calls;
}

} // namespace

TEST_CASE("a runner that turns slow gets less, and its part again afterwards")
{
    RunnerTable table = table_of({"r1", "r2", "r3"});
    play(table, "", 0, 2000);
    auto calls = play(table, "r2", 2000, 10'000);
    CHECK(calls["r2"] < 0.1 * 800);
    // It is still tried now and then, once what is known of it has faded.
    CHECK(calls["r2"] >= 2);
    play(table, "", 10'000, 16'000);
    calls = play(table, "", 16'000, 24'000);
    CHECK(calls["r2"] > 0.2 * 800);
}

TEST_CASE("slow runners of the own zone are preferred to those of another one")
{
    // The runners of a zone that is cut off take all of its calls.
    RunnerTable table = table_of({"near"});
    ListedRunner far = table.entry("near")->listed;
    far.id = "far";
    far.zone = "b";
    table.put(far, at(0));
    for (int ms = 0; ms < 1000; ms += 10) {
        table.answered({"near"}, usual, 4 * usual, at(ms));
        table.answered({"far"}, usual, usual, at(ms));
    }
    CHECK(table.choose(query(1000))->id == "near");
}

TEST_CASE("one odd answer says little of a runner")
{
    ResponseSpeed process;
    ResponseSpeed service;
    for (int i = 0; i < 20; ++i)
        for (ResponseSpeed* speed : {&process, &service})
            speed->answered(usual, usual, at(i));
    process.answered(usual, 100 * usual, at(20));
    CHECK(slowness(process, service, at(20)) < usual);
}

TEST_CASE("runners that are all slow alike are not slow")
{
    RunnerTable table = table_of({"r1", "r2"});
    for (int ms = 0; ms < 1000; ms += 10)
        for (const std::string runner : {"r1", "r2"})
            table.answered({runner}, usual, 3 * usual, at(ms));
    const RunnerEntry* entry = table.entry("r1");
    REQUIRE(entry);
    CHECK(table.slowness_of(*entry, at(1000)) < usual / 20);
}

TEST_CASE("what is known of a process says nothing of the next one")
{
    RunnerTable table = table_of({"r1", "r2"});
    for (int ms = 0; ms < 1000; ms += 10) {
        table.answered({"r1"}, usual, 3 * usual, at(ms));
        table.answered({"r2"}, usual, usual, at(ms));
    }
    CHECK(table.slowness_of(*table.entry("r1"), at(1000)) > usual / 2);
    ListedRunner next = table.entry("r1")->listed;
    next.start_ms = 1;
    table.put(next, at(1000));
    CHECK(table.slowness_of(*table.entry("r1"), at(1000)).count() == 0);
}

} // namespace crosslink
