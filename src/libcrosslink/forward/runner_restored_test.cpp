// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Entries of a copy from which the platform's list was restored: what is known
// of a process is newer.

#include "../testing/model_runners.h"

#include <catch2/catch.hpp>

namespace crosslink
{

using namespace testing::model_runners;

namespace
{

ListedRunner
leaving(ListedRunner runner)
{
    runner.leaving = true;
    return runner;
}

ListedRunner
with_weights(ListedRunner runner, std::uint64_t version)
{
    runner.models = {{"m", version}};
    return runner;
}

} // namespace

TEST_CASE("a copy makes no runner ready that leaves or is gone")
{
    RunnerTable table;
    table.put(leaving(runner("leaver", "a")), at(0));
    table.put(runner("gone", "a"), at(0));
    table.remove("gone");
    CHECK(table.is_outdated(runner("leaver", "a")));
    CHECK(table.is_outdated(runner("gone", "a")));
    table.put_restored(runner("leaver", "a"), at(100));
    table.put_restored(runner("gone", "a"), at(100));
    CHECK(chosen(table, query()).empty());
    table.put_restored(runner("leaver", "a"), at(30'000));
    CHECK(chosen(table, query()).empty());
}

TEST_CASE("a runner that lists itself as ready after the copy is used")
{
    RunnerTable table;
    table.put(runner("back", "a"), at(0));
    table.remove("back");
    table.put_restored(runner("back", "a"), at(100));
    CHECK(chosen(table, query()).empty());
    table.put(runner("back", "a"), at(200));
    CHECK(chosen(table, query()) == "back");
    CHECK_FALSE(table.is_outdated(runner("back", "a")));
}

TEST_CASE("a runner that only the copy knows is used")
{
    RunnerTable table;
    CHECK_FALSE(table.is_outdated(runner("new", "a")));
    CHECK_FALSE(table.put_restored(runner("new", "a"), at(0)));
    CHECK(chosen(table, query()) == "new");
}

TEST_CASE("a copy that lists an earlier process changes nothing")
{
    RunnerTable table;
    ListedRunner later = runner("r", "a");
    later.start_ms = 2000;
    ListedRunner earlier = runner("r", "a");
    earlier.start_ms = 1000;
    table.put(later, at(0));
    CHECK(table.is_outdated(earlier));
    table.put_restored(earlier, at(100));
    CHECK(table.entries().at("r").listed.start_ms == 2000);
    CHECK(chosen(table, query()) == "r");
}

TEST_CASE("a copy makes no weights older")
{
    RunnerTable table;
    table.put(with_weights(runner("r", "a"), 3), at(0));
    table.put_restored(with_weights(runner("r", "a"), 2), at(100));
    CHECK(table.entries().at("r").version_of("m") == 3);
    table.put_restored(with_weights(runner("r", "a"), 4), at(200));
    CHECK(table.entries().at("r").version_of("m") == 4);
}

TEST_CASE("an end that was reported minutes ago does not count against a copy")
{
    RunnerTable table;
    table.expire(at(0));
    table.put(runner("r", "a"), at(0));
    table.remove("r");
    table.expire(at(61'000));
    CHECK(table.is_outdated(runner("r", "a")));
    table.expire(at(122'000));
    CHECK_FALSE(table.is_outdated(runner("r", "a")));
}

} // namespace crosslink
