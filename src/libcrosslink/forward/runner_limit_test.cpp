// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/runners_of_a_zone.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace crosslink
{

namespace
{

using testing::at;
using testing::query;
using testing::table_of;

/// Chooses a runner and sends the call there.
std::string
send(RunnerTable& table, int millis)
{
    const auto pick = table.choose(query(millis));
    if (!pick)
        return {};
    table.reserve(pick->incarnation());
    table.sent(pick->incarnation(), 0, 0, at(millis));
    return pick->id;
}

} // namespace

TEST_CASE("a limited runner gets a call in each window, and others the rest")
{
    RunnerTable table = table_of({"limited", "other"});
    // 1.9 of 2 a second are given out.
    CHECK(table.apply_limit_answer({"limited"}, 2, 0, at(0)));
    CHECK(table.limited_count() == 1);
    int limited = 0;
    for (int ms = 0; ms < 4000; ++ms) {
        const std::string id = send(table, ms);
        REQUIRE_FALSE(id.empty());
        limited += id == "limited" ? 1 : 0;
    }
    CHECK(limited >= 6);
    CHECK(limited <= 8);
}

TEST_CASE("calls that wait for a limited runner have places of their own")
{
    RunnerTable table = table_of({"r"});
    table.apply_limit_answer({"r"}, 2, 0, at(0));
    CHECK(send(table, 0) == "r");
    CHECK(send(table, 10).empty());
    const NextAvailability first = table.next_available(query(10));
    CHECK(first.limited);
    REQUIRE(first.at);
    CHECK(*first.at > at(500));
    CHECK(*first.at < at(550));
    table.reserve(first.incarnation());
    const NextAvailability second = table.next_available(query(10));
    REQUIRE(second.at);
    CHECK(*second.at > at(1020));
    table.reserve(second.incarnation());
    // A call that did not wait comes after them.
    CHECK_FALSE(table.choose(query(530)));
    RunnerQuery due = query(0);
    due.now = *first.at;
    CHECK(table.choose_reserved(due, first.incarnation()));
    table.reserve(first.incarnation());
    table.sent(first.incarnation(), 0, 0, due.now);
    due.now = *second.at;
    CHECK(table.choose_reserved(due, second.incarnation()));
}

TEST_CASE("calls that wait for a runner that warms up do not share a place")
{
    RunnerTable table = table_of({"r"});
    ListedRunner cold = table.entries().at("r").listed;
    cold.cold_for = std::chrono::seconds(9);
    table.put(cold, at(0));
    // Two calls in a second.
    const auto asked = [](TimePoint now) {
        RunnerQuery query = crosslink::query(0);
        query.now = now;
        query.warm_up = {std::chrono::seconds(9), 4};
        return query;
    };
    for (const int ms : {0, 10})
        table.sent({"r"}, 0, 0, at(ms));
    std::vector<NextAvailability> waiting;
    for (int i = 0; i < 3; ++i) {
        waiting.push_back(table.next_available(asked(at(20))));
        REQUIRE(waiting.back().at);
        table.reserve(waiting.back().incarnation());
    }
    CHECK(*waiting[1].at < at(1100));
    CHECK(*waiting[2].at > at(2000));
    for (const NextAvailability& chance : waiting) {
        CHECK(table.choose_reserved(asked(*chance.at), chance.incarnation()));
        table.reserve(chance.incarnation());
        table.sent(chance.incarnation(), 0, 0, *chance.at);
    }
}

TEST_CASE("a reservation is lost if the runner accepts less by then")
{
    RunnerTable table = table_of({"r"});
    table.apply_limit_answer({"r"}, 2, 0, at(0));
    CHECK(send(table, 0) == "r");
    const NextAvailability chance = table.next_available(query(10));
    table.reserve(chance.incarnation());
    table.apply_limit_answer({"r"}, 0.5, 1, at(100));
    RunnerQuery due = query(0);
    due.now = *chance.at;
    CHECK_FALSE(table.choose_reserved(due, chance.incarnation()));
}

TEST_CASE("an account that is ahead comes after the others")
{
    RunnerTable table = table_of({"r"});
    table.apply_limit_answer({"r"}, 2, 0, at(0));
    CHECK(send(table, 0) == "r");
    RunnerQuery ahead = query(600);
    ahead.account_above_share = true;
    CHECK_FALSE(table.choose(ahead));
    CHECK(table.choose(query(600)));
    // The extra wait is made up for.
    ahead.now = at(800);
    CHECK(table.choose(ahead));
    CHECK(send(table, 800) == "r");
    CHECK(send(table, 1100) == "r");
}

TEST_CASE("an instance without a share sends nothing, but to ask a silent one")
{
    RunnerTable table = table_of({"r"});
    table.apply_limit_answer({"r"}, 2, 0, at(0));
    RunnerQuery other = query(100);
    other.instance = "j";
    CHECK_FALSE(table.choose(other));
    CHECK_FALSE(table.next_available(other).at);
    CHECK(table.next_available(other).limited);
    other.now = at(30'000);
    CHECK(table.choose(other));
}

TEST_CASE("a silent runner with a limit gets the next call, however dear")
{
    RunnerTable table = table_of({"limited", "other"});
    table.apply_limit_answer({"limited"}, 2, 0, at(0));
    for (int i = 0; i < 500; ++i)
        table.sent({"limited"}, 9000, 0, at(0));
    CHECK(table.choose(query(2000))->id == "other");
    CHECK(table.choose(query(20'000))->id == "limited");
}

TEST_CASE("a new process of a runner has no limit of the one before")
{
    RunnerTable table = table_of({"r"});
    table.apply_limit_answer({"r"}, 2, 0, at(0));
    const auto news = table.limit_updates(at(0));
    REQUIRE(news.size() == 1);
    ListedRunner again = table.entries().at("r").listed;
    again.start_ms = 5;
    CHECK(table.put(again, at(10)));
    CHECK(table.limited_count() == 0);
    // Late reports about the previous process have no effect.
    CHECK_FALSE(table.merge_limit(news[0], at(20)));
    CHECK_FALSE(table.apply_limit_answer({"r", 0}, 2, 0, at(20)));
    CHECK(table.limited_count() == 0);
}

TEST_CASE("a limit holds for its process, whether it is listed or not")
{
    RunnerTable table = table_of({"r"});
    const ListedRunner listed = table.entries().at("r").listed;
    table.apply_limit_answer({"r"}, 2, 0, at(0));
    const auto news = table.limit_updates(at(0));
    table.remove("r");
    CHECK(table.limited_count() == 0);
    table.put(listed, at(100));
    CHECK(table.limited_count() == 1);
    table.sync({}, at(200));
    CHECK(table.apply_limit_answer({"r"}, 3, 1, at(300)));
    table.put(listed, at(400));
    CHECK(table.limit_updates(at(400))[0].per_second == 3);
    // One that is reported before it is listed.
    RunnerTable other = table_of({});
    other.merge_limit(news[0], at(0));
    other.put(listed, at(100));
    CHECK(other.limited_count() == 1);
}

} // namespace crosslink
