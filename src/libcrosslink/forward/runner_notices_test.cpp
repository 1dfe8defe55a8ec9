// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_notices.h>

#include "../testing/runners_of_a_zone.h"

#include <catch2/catch.hpp>

#include <string>

namespace crosslink
{

namespace
{

using testing::at;
using testing::query;
using testing::table_of;

} // namespace

TEST_CASE("a backoff is no shorter than what was asked for, nor much longer")
{
    const TimePoint now{std::chrono::seconds(100)};
    for (const Micros backoff :
         {Micros(1), Micros(250'000), Micros(3'000'000), Micros(90'000'000)})
        for (const std::uint64_t random : {0, 1, 499, 999, 1000, 123456789}) {
            const TimePoint end = backoff_end(backoff, now, random);
            CHECK(end >= now + backoff);
            CHECK(end <= now + backoff + backoff / 8);
            CHECK(end <= now + backoff + std::chrono::seconds(1));
        }
    CHECK(backoff_end(std::chrono::seconds(3), now, 999) >
          backoff_end(std::chrono::seconds(3), now, 1));
}

TEST_CASE("a silent limited runner that backs off, or leaves, is not asked")
{
    RunnerTable table = table_of({"r"});
    table.apply_limit_answer({"r"}, 0.2, 0, at(0));
    CHECK(table.choose(query(60'000)));
    table.set_backoff({"r"}, at(90'000), at(60'000));
    CHECK_FALSE(table.choose(query(89'999)));
    CHECK(table.choose(query(90'000)));
    table.set_leaving({"r"}, at(90'000));
    CHECK_FALSE(table.choose(query(150'000)));
}

TEST_CASE("a runner that warms up backs off as others do")
{
    RunnerTable table = table_of({});
    ListedRunner cold;
    cold.id = "r";
    cold.service = "s";
    cold.zone = "a";
    cold.cold_for = std::chrono::seconds(60);
    table.put(cold, at(0));
    RunnerQuery asked = query(100);
    asked.warm_up = {std::chrono::seconds(60), 40};
    CHECK(table.choose(asked));
    table.set_backoff({"r"}, at(3000), at(100));
    CHECK_FALSE(table.choose(asked));
    asked.now = at(3000);
    CHECK(table.choose(asked));
}

TEST_CASE("a call that waited for its place is not sent early into a backoff")
{
    RunnerTable table = table_of({"r"});
    table.refused({"r"}, at(0), std::chrono::milliseconds(120));
    const NextAvailability chance = table.next_available(query(0));
    REQUIRE(chance.at == at(120));
    table.reserve(chance.incarnation());
    table.set_backoff({"r"}, at(125), at(50));
    CHECK_FALSE(table.choose_reserved(query(124), chance.incarnation()));
    CHECK(table.choose(query(125)));
}

TEST_CASE("a shorter backoff does not end the one that was asked for before")
{
    RunnerTable table = table_of({"r"});
    CHECK(table.set_backoff({"r"}, at(3000), at(0)));
    CHECK_FALSE(table.set_backoff({"r"}, at(600), at(100)));
    CHECK_FALSE(table.choose(query(2999)));
    CHECK(table.set_backoff({"r"}, at(4000), at(2999)));
    CHECK_FALSE(table.choose(query(3999)));
    CHECK(table.choose(query(4000)));
}

TEST_CASE("no call waits for the end of a backoff, and its time is told")
{
    RunnerTable table =
        table_of({"backing_off", "longer", "refused", "leaving"});
    table.set_leaving({"leaving"}, at(0));
    table.set_backoff({"backing_off"}, at(50), at(0));
    table.set_backoff({"longer"}, at(5000), at(0));
    table.refused({"refused"}, at(0), std::chrono::milliseconds(120));
    const NextAvailability chance = table.next_available(query(0));
    CHECK(chance.runner == "refused");
    CHECK(chance.at == at(120));
    CHECK(chance.backoff_ends_at == at(50));
    CHECK(chance.earliest() == at(50));
    table.set_leaving({"refused"}, at(0));
    CHECK_FALSE(table.next_available(query(0)).at);
    CHECK(table.next_available(query(0)).earliest() == at(50));
    CHECK(table.next_available(query(100)).backoff_ends_at == at(5000));
}

TEST_CASE("what befell calls at a process is not put down to the next one")
{
    RunnerTable table = table_of({"r"});
    ListedRunner again = table.entries().at("r").listed;
    again.start_ms = 5;
    again.models = {{"m", 1}};
    table.put(again, at(10));
    const RunnerIncarnation before{"r", 0};
    table.refused(before, at(20), std::chrono::seconds(1));
    table.failed(before, at(20));
    table.record_version({"r", 5}, "m", 2);
    table.discard_version(before, "m", 2);
    CHECK(table.choose(query(21)));
    CHECK(table.entries().at("r").version_of("m") == 2);
}

} // namespace crosslink
