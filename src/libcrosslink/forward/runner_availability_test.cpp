// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Runners that fail, lapse, restart or are not to be used for a time.

#include "../testing/model_runners.h"

#include <catch2/catch.hpp>

namespace crosslink
{

using namespace testing::model_runners;

TEST_CASE("a zone whose runner is silent is passed over until one answers")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("near too", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.silent("near", at(0));
    CHECK(chosen(table, query(100)) == "far");
    CHECK(chosen(table, query(2600)) != "far");
    table.silent("near", at(3000));
    CHECK(chosen(table, query(3100)) == "far");
    table.succeeded({"near too"});
    CHECK(chosen(table, query(3200)) != "far");
}

TEST_CASE("a failing runner gets no calls for a time that grows")
{
    RunnerTable table;
    table.put(runner("r", "a"), at(0));
    table.failed({"r"}, at(0));
    CHECK(chosen(table, query(100)).empty());
    CHECK(chosen(table, query(600)) == "r");
    table.failed({"r"}, at(600));
    CHECK(chosen(table, query(1200)).empty());
    CHECK(chosen(table, query(1700)) == "r");
    table.refused({"r"}, at(2000), std::chrono::milliseconds(50));
    CHECK(chosen(table, query(2010)).empty());
}

TEST_CASE("the time at which a runner accepts work again is known, if any")
{
    RunnerTable table;
    CHECK_FALSE(table.next_available(query()).at);
    table.put(runner("full", "a"), at(0));
    table.put(runner("fails", "a"), at(0));
    table.refused({"full"}, at(0), std::chrono::milliseconds(120));
    table.failed({"fails"}, at(0));
    CHECK(table.next_available(query()).at == at(120));
    table.put(runner("old", "a", 1), at(0));
    RunnerQuery asked = query();
    asked.least_version = 2;
    CHECK_FALSE(table.next_available(asked).at);
    table.record_version({"fails"}, model, 2);
    CHECK(table.next_available(asked).at == at(500));
    ListedRunner leaving = runner("fails", "a");
    leaving.leaving = true;
    table.put(leaving, at(0));
    CHECK_FALSE(table.next_available(asked).at);
}

TEST_CASE("a runner whose entry lapsed counts as gone a while later")
{
    RunnerTable table;
    table.put(runner("r", "a"), at(0));
    table.put(runner("s", "a"), at(0));
    table.lapsed("r", at(1000));
    const std::vector<ListedRunner> listed{runner("s", "a")};
    table.sync_lapsed(listed, at(2000), at(0));
    table.expire(at(900));
    const std::set<std::string> avoid{"s"};
    RunnerQuery ask = query(900);
    ask.avoid = &avoid;
    CHECK(chosen(table, ask) == "r");
    ask.now = at(1000);
    CHECK(chosen(table, ask).empty());
    table.put(runner("r", "a"), at(0));
    CHECK(chosen(table, ask) == "r");
    table.lapsed("r", at(3000));
    table.expire(at(3000));
    CHECK(table.entries().size() == 1);
}

TEST_CASE("a runner that broke a connection off comes after others for a while")
{
    RunnerTable table;
    table.put(runner("broke", "a"), at(0));
    table.put(runner("busy", "a"), at(0));
    table.sent({"busy"}, 2000, 0, at(0));
    CHECK(chosen(table, query(1)) == "broke");
    table.connection_failed("broke", at(1));
    CHECK(chosen(table, query(2)) == "busy");
    CHECK(chosen(table, query(1999)) == "busy");
    CHECK(chosen(table, query(2001)) == "broke");
    RunnerQuery suspect = query(2);
    suspect.avoids_exiting = false;
    CHECK(chosen(table, suspect) == "broke");
    // Without an alternative it is still chosen.
    table.connection_failed("broke", at(2001));
    table.remove("busy");
    CHECK(chosen(table, query(2002)) == "broke");
}

TEST_CASE("a runner that starts anew under its id is a new one")
{
    RunnerTable table;
    ListedRunner earlier = runner("r", "a", 1);
    earlier.start_ms = 100;
    table.put(earlier, at(0));
    table.sent({"r", 100}, 9000, 20'000, at(0));
    table.record_version({"r", 100}, model, 4);
    table.failed({"r", 100}, at(0));
    CHECK(chosen(table, query(10)).empty());
    ListedRunner later = earlier;
    later.start_ms = 200;
    later.address = "127.0.0.1:2";
    CHECK(table.put(later, at(10)));
    CHECK(chosen(table, query(10)) == "r");
    CHECK(table.own_load().empty());
    CHECK(table.entries().at("r").version_of(model) == 1);
    // Late events of the earlier process have no effect.
    CHECK_FALSE(table.record_version({"r", 100}, model, 5));
    table.sent({"r", 200}, 500, 800, at(20));
    table.prompt_read({"r", 100}, 9000);
    table.ended({"r", 100}, 20'000);
    CHECK(table.own_load().at("r").calls == 1);
    CHECK(table.own_load().at("r").tokens == 500);
    CHECK_FALSE(table.put(earlier, at(30)));
    CHECK(table.choose(query(30))->address == "127.0.0.1:2");
    CHECK_FALSE(table.put(later, at(40)));
}

TEST_CASE("runners of an evacuated zone get nothing")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.evacuate("a", true, at(0));
    CHECK(chosen(table, query(10)) == "far");
    CHECK(table.next_available(query(10)).at == TimePoint{});
    table.evacuate("b", true, at(20));
    CHECK(chosen(table, query(30)).empty());
    CHECK_FALSE(table.next_available(query(30)).at);
    table.evacuate_only({"b"}, at(40));
    CHECK(chosen(table, query(50)) == "near");
    table.evacuate("none", false, at(60));
    CHECK(table.evacuated().size() == 1);
}

TEST_CASE("runners of a zone that was evacuated are taken as cold")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    table.members().listed({"i", "", "a", 0}, at(-5000));
    RunnerQuery asked = query(0);
    asked.instance = "i";
    asked.warm_up = {std::chrono::seconds(3), 4};
    table.evacuate("a", true, at(0));
    table.evacuate("a", false, at(1000));
    asked.now = at(1000);
    for (int i = 0; i < 2; ++i) {
        CHECK(chosen(table, asked) == "near");
        table.sent({"near"}, 0, 0, at(1000));
    }
    CHECK(chosen(table, asked) == "far");
    asked.now = at(4000);
    CHECK(chosen(table, asked) == "near");
}

TEST_CASE("calls that are about to be sent count at a cold runner")
{
    RunnerTable table;
    ListedRunner cold = runner("r", "a");
    cold.cold_for = std::chrono::seconds(2);
    table.put(cold, at(0));
    table.members().listed({"i", "", "a", 0}, at(-5000));
    RunnerQuery asked = query(0);
    asked.instance = "i";
    asked.warm_up = {std::chrono::seconds(3), 4};
    table.reserve({"r"});
    CHECK(chosen(table, asked) == "r");
    table.reserve({"r"});
    CHECK(chosen(table, asked).empty());
    table.release({"r"});
    CHECK(chosen(table, asked) == "r");
    table.sent({"r"}, 0, 0, at(0));
    table.reserve({"r"});
    CHECK(chosen(table, asked).empty());
    CHECK(table.next_available(asked).at == at(1050));
    // Another instance has no share, and waits until the runner is warm.
    asked.instance = "j";
    CHECK(table.next_available(asked).at == at(2000));
}

TEST_CASE("a runner that may be restarting is treated as cold")
{
    RunnerTable table;
    table.put(runner("r", "a"), at(0));
    RunnerQuery asked = query(0);
    asked.instance = "i";
    asked.warm_up = {std::chrono::seconds(3), 20};
    CHECK(chosen(table, asked) == "r");
    CHECK(table.connection_failed("r", at(100)));
    CHECK(!table.connection_failed("r", at(50)));
    CHECK(!table.connection_failed("unlisted", at(50)));
    CHECK(table.connection_failures(at(99)).at("r") == at(100));
    CHECK(table.connection_failures(at(100)).empty());
    CHECK(chosen(table, asked).empty());
    asked.now = at(4600);
    CHECK(chosen(table, asked) == "r");
}

TEST_CASE("calls go to runners of their home zones only")
{
    RunnerTable table;
    table.put(runner("near", "a"), at(0));
    table.put(runner("far", "b"), at(0));
    const std::set<std::string, std::less<>> allowed_regions{"b"};
    RunnerQuery asked = query();
    asked.zones_allowed = &allowed_regions;
    CHECK(chosen(table, asked) == "far");
    const std::set<std::string, std::less<>> none;
    asked.zones_allowed = &none;
    CHECK(chosen(table, asked).empty());
}

} // namespace crosslink
