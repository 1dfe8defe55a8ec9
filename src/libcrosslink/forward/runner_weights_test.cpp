// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Which runners are chosen for a call by the weights that they have.

#include "../testing/model_runners.h"

#include <catch2/catch.hpp>

namespace crosslink
{

using namespace testing::model_runners;

TEST_CASE("newer weights are preferred, older ones not used past their bound")
{
    RunnerTable table;
    table.put(runner("old", "a", 1), at(0));
    table.put(runner("new", "a", 2), at(0));
    RunnerQuery asked = query();
    asked.newest_version = 2;
    CHECK(chosen(table, asked) == "new");
    table.sent({"new"}, 50'000, 0, at(0));
    CHECK(chosen(table, asked) == "old");
    asked.least_version = 2;
    CHECK(chosen(table, asked) == "new");
}

TEST_CASE("older weights are not used past their bound if few have newer ones")
{
    RunnerTable table;
    table.put(runner("o1", "a", 1), at(0));
    table.put(runner("o2", "a", 1), at(0));
    table.put(runner("new", "a", 2), at(0));
    table.sent({"new"}, 50'000, 0, at(0));
    RunnerQuery asked = query();
    asked.newest_version = 2;
    asked.least_version = 2;
    CHECK(chosen(table, asked) == "new");
    table.remove("new");
    CHECK(chosen(table, asked).empty());
    table.record_version({"o2"}, model, 2);
    CHECK(chosen(table, asked) == "o2");
}

TEST_CASE("a late list does not bring older weights back")
{
    RunnerTable table;
    table.put(runner("r", "a", 1), at(0));
    table.record_version({"r"}, model, 2);
    table.put(runner("r", "a", 1), at(0));
    CHECK(table.choose(query())->version == 2);
}

TEST_CASE("weights that are reported late do not replace newer ones")
{
    RunnerTable table;
    table.put(runner("r", "a", 2), at(0));
    CHECK(table.record_version({"r"}, model, 4));
    CHECK_FALSE(table.record_version({"r"}, model, 3));
    CHECK_FALSE(table.record_version({"r"}, "other", 3));
    CHECK(table.choose(query())->version == 4);
}

TEST_CASE("if a runner lacks the reported weights, its list counts")
{
    RunnerTable table;
    table.put(runner("r", "a", 1), at(0));
    table.record_version({"r"}, model, 3);
    table.discard_version({"r"}, model, 2);
    CHECK(table.choose(query())->version == 3);
    table.discard_version({"r"}, model, 3);
    CHECK(table.choose(query())->version == 1);
    // Its list may be late too: that alone is no reason to discard it.
    table.discard_version({"r"}, model, 1);
    CHECK(table.choose(query())->version == 1);
}

} // namespace crosslink
