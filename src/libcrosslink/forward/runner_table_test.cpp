// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/runner_table.h>

#include <catch2/catch.hpp>

#include <set>

namespace crosslink
{

namespace
{

constexpr const char* model = "m";

ListedRunner
runner(const std::string& id, const std::string& zone,
       std::uint64_t version = 1)
{
    ListedRunner listed;
    listed.id = id;
    listed.service = "s";
    listed.address = "127.0.0.1:1";
    listed.zone = zone;
    listed.slots = 64;
    listed.models = {{model, version}};
    return listed;
}

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

RunnerQuery
query(int millis = 0)
{
    RunnerQuery query;
    query.service = "s";
    query.zone = "a";
    query.model = model;
    query.newest_version = 1;
    query.now = at(millis);
    return query;
}

/// A prompt that takes `resident` of the 70,000 tokens that a runner has.
RunnerQuery
query_of(std::uint64_t resident, int millis = 0)
{
    RunnerQuery asked = query(millis);
    asked.memory_tokens = 70'000;
    asked.resident = resident;
    return asked;
}

std::string
chosen(const RunnerTable& table, const RunnerQuery& asked)
{
    const auto pick = table.choose(asked);
    return pick ? pick->id : "";
}

} // namespace

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
    const auto aged = aged_load(told, std::chrono::milliseconds(100));
    CHECK(aged.at("r").tokens == 4000);
    CHECK(aged.at("r").calls == 2);
    CHECK(aged.at("r").resident == 20'000);
    CHECK(aged.at("s").tokens == 0);
    CHECK(aged_load(told, Micros{0}).at("r").tokens == 9000);
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
    table.connection_failed("r", at(100));
    table.connection_failed("r", at(50));
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
