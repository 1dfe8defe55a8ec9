// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

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

constexpr std::uint32_t bearable = 2;
constexpr int instances = 6;
constexpr std::uint64_t no_jitter = 0;

std::string
instance(int number)
{
    return "instance-" + std::to_string(number);
}

/// A table of one brittle runner before several instances, long after they
/// joined.
RunnerTable
brittle_table()
{
    RunnerTable table = table_of({"r"});
    for (int i = 0; i < instances; ++i)
        table.members().listed({instance(i), "1:1", "a"},
                               at(0) - std::chrono::seconds(60));
    table.set_bearable_refusals({"r"}, bearable);
    return table;
}

int
senders(RunnerTable& table, int millis)
{
    int found = 0;
    for (int i = 0; i < instances; ++i) {
        const std::string name = instance(i);
        RunnerQuery asked = query(millis);
        asked.instance = name;
        found += table.choose(asked) ? 1 : 0;
    }
    return found;
}

} // namespace

TEST_CASE("all instances send to a brittle runner that refuses nothing")
{
    RunnerTable table = brittle_table();
    CHECK(senders(table, 100) == instances);
}

TEST_CASE("one instance alone sends to a brittle runner once it refuses calls")
{
    RunnerTable table = brittle_table();
    table.found_no_room({"r"}, at(100), no_jitter);
    CHECK(senders(table, 100) == 0);
    CHECK(senders(table, 2000) == 1);
    CHECK(senders(table, 20'000) == instances);
}

TEST_CASE("the only sender to a brittle runner holds back shortly")
{
    RunnerTable table = brittle_table();
    table.found_no_room({"r"}, at(0), no_jitter);
    const int later = 2000;
    table.found_no_room({"r"}, at(later), no_jitter);
    const int hold = static_cast<int>(RoomEstimate::sole_sender_hold /
                                      std::chrono::milliseconds(1));
    CHECK(senders(table, later + hold - 1) == 0);
    CHECK(senders(table, later + hold) == 1);
}

TEST_CASE("a brittle runner's room is lent, and free again after the call")
{
    RunnerTable table = brittle_table();
    table.found_no_room({"r"}, at(0), no_jitter);
    // The runner refuses a call that it has alone: it has room for one.
    table.found_no_room({"r"}, at(1800), no_jitter);
    std::string holder;
    for (int i = 0; i < instances; ++i) {
        RunnerQuery asked = query(2000);
        const std::string name = instance(i);
        asked.instance = name;
        if (table.choose(asked))
            holder = name;
    }
    REQUIRE_FALSE(holder.empty());
    RunnerQuery asked = query(2000);
    asked.instance = holder;
    CHECK_FALSE(table.lend({"r"}, asked));
    asked.now = at(2100);
    CHECK(table.lend({"r"}, asked));
    table.loan_ended({"r"});
    CHECK_FALSE(table.lend({"r"}, asked));
}

TEST_CASE(
    "a refusal of a runner that is not brittle holds nothing back for long")
{
    RunnerTable table = brittle_table();
    table.set_bearable_refusals({"r"}, 0);
    table.found_no_room({"r"}, at(100), no_jitter);
    CHECK(senders(table, 100) == instances);
}

TEST_CASE(
    "calls that wait for a brittle runner are not sent at the same moment")
{
    RunnerTable table = brittle_table();
    table.found_no_room({"r"}, at(0), no_jitter);
    for (int i = 0; i < instances; ++i)
        table.reserve({"r"});
    int sent = 0;
    for (int i = 0; i < instances; ++i) {
        RunnerQuery asked = query(2000);
        const std::string name = instance(i);
        asked.instance = name;
        if (table.choose_reserved(asked, {"r"})) {
            table.reserve({"r"});
            ++sent;
        }
    }
    CHECK(sent <= 1);
}

} // namespace crosslink
