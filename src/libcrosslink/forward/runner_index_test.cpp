// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// What the table of runners costs in fleets of several sizes: the entries that
// it looks at, of which the busy ones are few.

#include <crosslink/forward/runner_index.h>
#include <crosslink/forward/runner_table.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace crosslink
{

namespace
{

constexpr const char* service = "s";
constexpr std::size_t zone_count = 5;
constexpr std::size_t runners_per_instance = 10;
constexpr std::size_t busy_count = 40;
const TimePoint now{std::chrono::seconds(100)};

std::string
zone_name(std::size_t number)
{
    return "z" + std::to_string(number % zone_count);
}

RunnerTable
table_of(std::size_t runners)
{
    RunnerTable table;
    for (std::size_t i = 0; i < runners; ++i) {
        ListedRunner runner;
        runner.id = "r" + std::to_string(i);
        runner.service = service;
        runner.address = "127.0.0.1:" + std::to_string(i);
        runner.zone = zone_name(i);
        runner.slots = 24;
        table.put(runner, now);
    }
    return table;
}

RunnerQuery
query_of(std::size_t runners)
{
    RunnerQuery query;
    query.service = service;
    query.zone = "z0";
    query.instances = std::max<std::size_t>(runners / runners_per_instance, 1);
    query.random = runners;
    query.now = now;
    return query;
}

/// Returns the load on `busy_count` runners from `first` on.
std::map<std::string, RunnerLoad>
load_from(std::size_t first)
{
    std::map<std::string, RunnerLoad> load;
    for (std::size_t i = 0; i < busy_count; ++i)
        load["r" + std::to_string(first + i)] = {1, 100, 1000};
    return load;
}

/// Returns how many entries `work` looks at.
template<typename Work>
std::uint64_t
visited_by(RunnerTable& table, const Work& work)
{
    const std::uint64_t before = table.entries_visited();
    work();
    return table.entries_visited() - before;
}

} // namespace

TEST_CASE("an exchange costs by the busy runners, not by all")
{
    for (const std::size_t runners : {100, 1000, 10'000}) {
        RunnerTable table = table_of(runners);
        table.set_remote_load(load_from(0), now);
        table.connection_failed("r7", now);
        table.set_leaving({"r8", 0}, now);
        const std::uint64_t visited = visited_by(table, [&] {
            table.set_remote_load(load_from(busy_count), now);
            CHECK(table.own_load().empty());
            CHECK(table.limit_updates(now).empty());
            CHECK(table.leaving_updates().size() == 1);
            CHECK(table.connection_failures({}).size() == 1);
            CHECK(table.limited_count() == 0);
            table.expire(now);
        });
        CHECK(visited <= 2 * busy_count + 20);
    }
}

TEST_CASE("a choice costs the same among many runners as among very many")
{
    std::map<std::size_t, std::uint64_t> visited;
    for (const std::size_t runners : {1000, 10'000, 20'000}) {
        RunnerTable table = table_of(runners);
        const RunnerQuery query = query_of(runners);
        visited[runners] = visited_by(
            table, [&] { CHECK(table.choose(query)->zone == query.zone); });
    }
    CHECK(visited[10'000] <= 400);
    CHECK(visited[20'000] <= visited[10'000] + 50);
}

TEST_CASE("the loss of a part of the runners costs by that part")
{
    for (const std::size_t runners : {1000, 10'000}) {
        RunnerTable table = table_of(runners);
        const std::size_t lost = runners / 7;
        const std::uint64_t visited = visited_by(table, [&] {
            for (std::size_t i = 0; i < lost; ++i)
                table.remove("r" + std::to_string(i));
        });
        CHECK(visited <= lost);
        CHECK(table.entries().size() == runners - lost);
        CHECK(table.count_in_zone("z0") ==
              static_cast<std::size_t>(
                  std::count_if(table.entries().begin(), table.entries().end(),
                                [](const auto& item) {
                                    return item.second.listed.zone == "z0";
                                })));
    }
}

TEST_CASE("a sample is drawn from those that accept work, while any does")
{
    RunnerTable table = table_of(1000);
    const RunnerQuery query = query_of(1000);
    // Few runners of a large zone accept calls: all are looked at.
    for (std::size_t i = 0; i < 1000; ++i)
        if (i != 500)
            table.refused({"r" + std::to_string(i), 0}, now,
                          std::chrono::seconds(1));
    const auto pick = table.choose(query);
    REQUIRE(pick);
    CHECK(pick->id == "r500");
    table.refused({"r500", 0}, now, std::chrono::seconds(1));
    CHECK_FALSE(table.choose(query));
}

TEST_CASE("the load of another zone is not known where only one zone's is")
{
    RunnerTable table = table_of(20);
    auto load = load_from(0);
    table.keep_zone(load, "z1");
    CHECK(load.size() == 4);
    CHECK(std::all_of(load.begin(), load.end(), [&](const auto& item) {
        return table.entries().at(item.first).listed.zone == "z1";
    }));
    table.set_remote_load(load, now, "z1");
    RunnerQuery query = query_of(20);
    query.zone = "z1";
    // Loaded runners of the own zone still come before unknown ones.
    CHECK(table.choose(query)->zone == "z1");
}

TEST_CASE("the index has each listed runner once, in its group")
{
    CHECK(rc::check("groups hold what was added and not removed", [] {
        RunnerIndex index;
        std::map<std::string, std::pair<std::string, std::string>> listed;
        const int steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i) {
            const std::string id =
                "r" + std::to_string(*rc::gen::inRange(0, 20));
            if (*rc::gen::inRange(0, 3) == 0) {
                index.remove(id);
                listed.erase(id);
                continue;
            }
            const std::string of = *rc::gen::element<std::string>("a", "b");
            const std::string zone = *rc::gen::element<std::string>("x", "y");
            index.add(id, of, zone);
            listed[id] = {of, zone};
        }
        std::map<std::string, std::pair<std::string, std::string>> found;
        for (const char* of : {"a", "b"})
            if (const auto* groups = index.groups(of))
                for (const auto& [zone, group] : *groups)
                    for (const std::string& id : group.ids)
                        RC_ASSERT(
                            found.emplace(id, std::pair(of, zone)).second);
        RC_ASSERT(found == listed);
    }));
}

} // namespace crosslink
