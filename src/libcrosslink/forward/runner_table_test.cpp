// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/model_runners.h"

#include <crosslink/forward/runner_price.h>

#include <catch2/catch.hpp>

#include <set>

namespace crosslink
{

using namespace testing::model_runners;

TEST_CASE("leaving, tried and other services' runners get no calls")
{
    RunnerTable table;
    CHECK(chosen(table, query()).empty());
    ListedRunner leaving = runner("r1", "a");
    leaving.leaving = true;
    table.put(leaving, at(0));
    ListedRunner other = runner("r2", "a");
    other.service = "t";
    table.put(other, at(0));
    CHECK(chosen(table, query()).empty());
    table.put(runner("r3", "a"), at(0));
    CHECK(chosen(table, query()) == "r3");
    RunnerQuery again = query();
    const std::set<std::string> avoid{"r3"};
    again.avoid = &avoid;
    CHECK(chosen(table, again).empty());
}

TEST_CASE("the own zone is preferred until its runners are loaded")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    CHECK(chosen(table, query()) == "near");
    table.sent({"near"}, 9000, 0, at(0));
    CHECK(chosen(table, query()) == "far");
    table.prompt_read({"near"}, 9000);
    CHECK(chosen(table, query()) == "near");
    table.ended({"near"});
    CHECK(table.entries().at("near").own.calls == 0);
}

TEST_CASE("a large prompt goes to the zone of the store that keeps it")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    RunnerQuery ask = query();
    ask.kept = {"b", std::chrono::milliseconds(40)};
    CHECK(chosen(table, ask) == "far");
    ask.kept.fetch_time = std::chrono::milliseconds(5);
    CHECK(chosen(table, ask) == "near");
    ask.kept = {"a", std::chrono::milliseconds(40)};
    CHECK(chosen(table, ask) == "near");
}

TEST_CASE("the expected wait at a runner grows with its prompts")
{
    RunnerTable table;
    table.put(runner("r", "a"), at(0));
    CHECK(table.choose(query())->wait == Micros(0));
    table.sent({"r"}, 9000, 0, at(0));
    CHECK(table.choose(query())->wait >= reading_time(9000));
}

TEST_CASE("the load of other instances counts while it is fresh")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.set_remote_load({{"near", {3, 20'000}}}, at(0));
    CHECK(chosen(table, query(100)) == "far");
    CHECK(chosen(table, query(5000)) == "near");
}

TEST_CASE("what others told to be unread is read as time goes on")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.set_remote_load({{"near", {3, 20'000}}}, at(0));
    const auto wait = [&table](int now) {
        RunnerQuery ask = query(now);
        const std::set<std::string> avoided{"far"};
        ask.avoid = &avoided;
        return table.choose(ask)->wait;
    };
    CHECK(wait(0) == reading_time(20'000));
    CHECK(wait(100) == reading_time(15'000));
    CHECK(wait(500) == Micros(0));
    // What this instance sent itself counts as not prefilled until its first
    // event.
    table.sent({"near"}, 6000, 0, at(0));
    CHECK(wait(500) >= reading_time(6000));
}

TEST_CASE("a large prompt avoids a runner whose memory it would exceed")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.sent({"near"}, 0, 35'000, at(0));
    CHECK(chosen(table, query_of(12'000)) == "near");
    CHECK(chosen(table, query_of(45'000)) == "far");
    table.ended({"near"}, 35'000);
    CHECK(chosen(table, query_of(45'000)) == "near");
}

TEST_CASE("an idle runner has no expected wait, however large the prompt")
{
    RunnerTable table;
    table.put(runner("r", "a"), at(0));
    CHECK(table.choose(query_of(200'000))->wait == Micros(0));
}

TEST_CASE("load that was told a while ago is handed on without what is read")
{
    const std::map<std::string, RunnerLoad> told{{"r", {2, 9000, 20'000}},
                                                 {"s", {1, 1000, 3000}}};
    const auto usual = [](std::string_view) { return usual_prefill_rate; };
    const auto aged = aged_load(told, std::chrono::milliseconds(100), usual);
    CHECK(aged.at("r").tokens == 4000);
    CHECK(aged.at("r").calls == 2);
    CHECK(aged.at("r").resident == 20'000);
    CHECK(aged.at("s").tokens == 0);
    CHECK(aged_load(told, Micros{0}, usual).at("r").tokens == 9000);
}

TEST_CASE("memory held by calls of other instances counts as well")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.set_remote_load({{"near", {4, 0, 68'000}}}, at(0));
    CHECK(chosen(table, query_of(12'000, 100)) == "far");
}

TEST_CASE("the wait for memory follows the holding time of earlier calls")
{
    RunnerTable table;
    table.put(runner("r", "a"), at(0));
    for (int i = 0; i < 60; ++i)
        table.ran("r", 12'000, std::chrono::seconds(4));
    table.sent({"r"}, 0, 70'000, at(0));
    const double wait = seconds(table.choose(query_of(35'000))->wait);
    CHECK(wait > 1.5);
    CHECK(wait < 2.5);
}

TEST_CASE("many instances do not all choose the same runner")
{
    RunnerTable table;
    std::map<std::string, RunnerLoad> load;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(i);
        table.put(runner(id, "a"), at(0));
        load[id] = {10, 0, i == 7 ? 0U : 70'000U};
    }
    RunnerQuery ask = query_of(4000, 600);
    ask.instances = 80;
    const auto times_chosen = [&] {
        int count = 0;
        for (std::uint64_t i = 0; i < 200; ++i) {
            ask.random = i * 0x9E3779B97F4A7C15U;
            count += chosen(table, ask) == "r7" ? 1 : 0;
        }
        return count;
    };
    table.set_remote_load(load, at(500));
    const int of_many = times_chosen();
    CHECK(of_many > 0);
    CHECK(of_many < 30);
    ask.instances = 4;
    CHECK(times_chosen() == 200);
}

TEST_CASE("a complete list removes the runners that it does not contain")
{
    RunnerTable table;
    table.put(runner("r1", "a"), at(0));
    table.put(runner("r2", "a"), at(0));
    const std::vector<ListedRunner> list{runner("r2", "a")};
    table.sync(list, at(0));
    CHECK(table.entries().size() == 1);
    table.remove("r2");
    table.remove("r2");
    CHECK(table.entries().empty());
}

} // namespace crosslink
