// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/weights_plan.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace crosslink
{

namespace
{

constexpr const char* model = "m";

ListedRunner
runner(int number, std::uint64_t version)
{
    ListedRunner listed;
    listed.id = "r" + std::to_string(number);
    listed.service = "s";
    listed.address = "127.0.0.1:" + std::to_string(number);
    listed.slots = 64;
    listed.models = {{model, version}};
    return listed;
}

RunnerTable
runners_with(const std::vector<std::uint64_t>& versions)
{
    RunnerTable table;
    for (std::size_t i = 0; i < versions.size(); ++i)
        table.put(runner(static_cast<int>(i), versions[i]), TimePoint{});
    return table;
}

constexpr const char* other_model = "n";

/// Eighteen runners of one model, and six of another.
RunnerTable
runners_of_two_models()
{
    RunnerTable table = runners_with(std::vector<std::uint64_t>(18, 1));
    for (int i = 18; i < 24; ++i) {
        ListedRunner listed = runner(i, 1);
        listed.models = {{other_model, 1}};
        table.put(listed, TimePoint{});
    }
    return table;
}

constexpr Micros bound = std::chrono::seconds(10);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

/// All versions were named at time 0.
WeightsHistory
history(const std::vector<std::uint64_t>& versions)
{
    WeightsHistory result;
    for (const std::uint64_t version : versions)
        result.named(version, at(0));
    return result;
}

} // namespace

TEST_CASE("an order to the earlier process of a runner holds no slot")
{
    WeightsPlan plan(bound);
    WeightsHistory history;
    history.named(2, at(0));
    plan.follow(model, history);
    RunnerTable table = runners_with({1});
    const auto orders = plan.due(table, at(0));
    REQUIRE(orders.size() == 1);
    plan.ordered(orders[0], OrderOutcome::Accepted, at(10));
    CHECK(plan.due(table, at(100)).empty());
    ListedRunner restarted = runner(0, 1);
    restarted.start_ms = 5;
    table.put(restarted, at(200));
    const auto retry = plan.due(table, at(200));
    REQUIRE(retry.size() == 1);
    CHECK(retry[0].start_ms == 5);
}

TEST_CASE("a runner that says that it leaves is ordered nothing")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    RunnerTable table = runners_with({1, 1});
    table.set_leaving({"r0"}, at(0));
    const auto orders = plan.due(table, at(0));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].runner == "r1");
}

TEST_CASE("a fraction of the runners loads new weights at once")
{
    WeightsPlan plan(bound);
    const RunnerTable table = runners_with(std::vector<std::uint64_t>(18, 1));
    CHECK(plan.due(table, at(0)).empty());
    plan.follow(model, history({2}));
    const auto orders = plan.due(table, at(0));
    CHECK(orders.size() == 3);
    CHECK(plan.due(table, at(1)).empty());
    for (const WeightsOrder& order : orders)
        plan.ordered(order, OrderOutcome::Accepted, at(2));
    plan.reported(orders.front(), 2, false, at(900));
    RunnerTable later = table;
    later.record_version({orders.front().runner}, model, 2);
    CHECK(plan.due(later, at(901)).size() == 1);
}

TEST_CASE("the oldest weights are replaced first when a newer version is named")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2, 3}));
    RunnerTable table = runners_with({2, 2, 1, 2, 1, 2, 2, 2, 2, 2, 2, 2});
    // The runners with the oldest weights are the busiest.
    table.sent({"r2"}, 0, 0, at(0));
    table.sent({"r4"}, 0, 0, at(0));
    std::set<std::string> first;
    for (const WeightsOrder& order : plan.due(table, at(0)))
        first.insert(order.runner);
    CHECK(first == std::set<std::string>{"r2", "r4"});
}

TEST_CASE("more runners load at once where the bound is near")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with(std::vector<std::uint64_t>(18, 1));
    const std::size_t early = plan.due(table, at(0)).size();
    WeightsPlan late(bound);
    late.follow(model, history({2}));
    CHECK(late.due(table, at(5000)).size() > early);
}

TEST_CASE("an order without an answer is given again, an accepted one is not")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with({1});
    const auto orders = plan.due(table, at(0));
    REQUIRE(orders.size() == 1);
    SECTION("unknown")
    {
        plan.ordered(orders[0], OrderOutcome::Unknown, at(10));
        CHECK(plan.due(table, at(100)).empty());
        CHECK(plan.due(table, at(800)).size() == 1);
    }
    SECTION("accepted")
    {
        plan.ordered(orders[0], OrderOutcome::Accepted, at(10));
        plan.reported(orders[0], 1, true, at(500));
        CHECK(plan.due(table, at(800)).empty());
    }
    SECTION("accepted by a runner that then restarted")
    {
        plan.ordered(orders[0], OrderOutcome::Accepted, at(10));
        plan.reported(orders[0], 1, false, at(900));
        CHECK(plan.due(table, at(901)).size() == 1);
    }
}

TEST_CASE("a runner that fails its orders takes no turns from the others")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with({1, 1});
    std::vector<std::string> ordered;
    for (int millis = 0; millis < 4000; millis += 100) {
        for (const WeightsOrder& order : plan.due(table, at(millis))) {
            ordered.push_back(order.runner);
            plan.ordered(order, OrderOutcome::Accepted, at(millis));
        }
        for (const WeightsOrder& order : plan.open())
            plan.reported(order, 1, false, at(millis));
    }
    CHECK(std::count(ordered.begin(), ordered.end(), "r0") >= 2);
    CHECK(std::count(ordered.begin(), ordered.end(), "r1") >= 2);
}

TEST_CASE("a runner that refuses gets another order after a growing pause")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with({1});
    std::vector<int> times;
    for (int millis = 0; millis < 4000; millis += 100) {
        for (const WeightsOrder& order : plan.due(table, at(millis))) {
            times.push_back(millis);
            plan.ordered(order, OrderOutcome::Refused, at(millis));
        }
    }
    CHECK(times == std::vector<int>{0, 400, 800, 2000});
}

TEST_CASE("runners that accept and fall silent give their places to others")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with(std::vector<std::uint64_t>(18, 1));
    const auto orders = plan.due(table, at(0));
    REQUIRE(orders.size() == 3);
    for (const WeightsOrder& order : orders) {
        plan.ordered(order, OrderOutcome::Accepted, at(10));
        plan.reported(order, 1, true, at(100));
        plan.report_failed(order);
    }
    CHECK(plan.due(table, at(300)).empty());
    std::set<std::string> later;
    for (const WeightsOrder& order : plan.due(table, at(800)))
        later.insert(order.runner);
    CHECK(later.size() == 3);
    for (const WeightsOrder& order : orders)
        CHECK_FALSE(later.contains(order.runner));
    CHECK(plan.open().size() == 6);
    // A silent runner may have carried out its order.
    plan.reported(orders[0], 2, false, at(900));
    CHECK(plan.loaded(at(900)).size() == 1);
}

TEST_CASE("a runner that is not asked, or that answers, keeps its slot")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with({1, 1});
    const auto orders = plan.due(table, at(0));
    REQUIRE(orders.size() == 1);
    plan.ordered(orders[0], OrderOutcome::Accepted, at(10));
    CHECK(plan.due(table, at(2000)).empty());
    plan.report_failed(orders[0]);
    plan.reported(orders[0], 1, true, at(2000));
    CHECK(plan.due(table, at(4000)).empty());
}

TEST_CASE("runners of one model take no slots from those of another model")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    plan.follow(other_model, history({2}));
    std::map<std::string, int> orders;
    for (const WeightsOrder& order : plan.due(runners_of_two_models(), at(0)))
        ++orders[order.model];
    CHECK(orders == std::map<std::string, int>{{model, 3}, {other_model, 1}});
}

TEST_CASE("a runner's report on one model closes no order for another one")
{
    WeightsPlan plan(bound);
    plan.follow(other_model, history({3}));
    ListedRunner listed = runner(0, 5);
    listed.models.push_back({other_model, 1});
    RunnerTable table;
    table.put(listed, TimePoint{});
    const auto orders = plan.due(table, at(0));
    REQUIRE(orders.size() == 1);
    plan.ordered(orders[0], OrderOutcome::Accepted, at(10));
    WeightsOrder earlier = orders[0];
    earlier.model = model;
    earlier.version = 5;
    plan.reported(earlier, 5, false, at(900));
    CHECK(plan.open().size() == 1);
    plan.ordered(earlier, OrderOutcome::AlreadyLoaded, at(900));
    CHECK(plan.open().size() == 1);
    CHECK(plan.loaded(at(900)).empty());
    plan.reported(orders[0], 3, false, at(1000));
    CHECK(plan.loaded(at(1000)).size() == 1);
}

TEST_CASE("an earlier order's outcome says nothing of one for newer weights")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const RunnerTable table = runners_with({1});
    const auto earlier = plan.due(table, at(0));
    REQUIRE(earlier.size() == 1);
    plan.follow(model, history({2, 3}));
    REQUIRE(plan.due(table, at(800)).size() == 1);
    plan.ordered(earlier[0], OrderOutcome::AlreadyLoaded, at(810));
    CHECK(plan.open().size() == 1);
    CHECK(plan.loaded(at(810)).empty());
}

TEST_CASE("failed orders do not hold up newer weights")
{
    WeightsPlan plan(bound);
    const RunnerTable table = runners_with({1});
    std::vector<int> times;
    for (int millis = 0; millis < 2500; millis += 100) {
        plan.follow(model, history({2}));
        if (millis >= 900)
            plan.follow(model, history({2, 3}));
        for (const WeightsOrder& order : plan.due(table, at(millis))) {
            times.push_back(millis);
            plan.ordered(order, OrderOutcome::Refused, at(millis));
        }
    }
    CHECK(times == std::vector<int>{0, 400, 800, 900, 1300, 1700});
}

TEST_CASE("an order that was not sent is due again, and is no failure")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    SECTION("it does not count as a failure")
    {
        const RunnerTable table = runners_with({1});
        for (const WeightsOrder& order : plan.due(table, at(0)))
            plan.not_sent(order, at(0));
        CHECK(plan.open().empty());
        std::vector<int> times;
        for (int millis = 100; millis < 4000; millis += 100) {
            for (const WeightsOrder& order : plan.due(table, at(millis))) {
                times.push_back(millis);
                plan.ordered(order, OrderOutcome::Refused, at(millis));
            }
        }
        CHECK(times == std::vector<int>{200, 600, 1000, 2200});
    }
    SECTION("other runners go first")
    {
        const RunnerTable table =
            runners_with(std::vector<std::uint64_t>(18, 1));
        const auto first = plan.due(table, at(0));
        REQUIRE(first.size() == 3);
        for (const WeightsOrder& order : first)
            plan.not_sent(order, at(0));
        const auto next = plan.due(table, at(80));
        REQUIRE(next.size() == 3);
        CHECK(next[0].runner != first[0].runner);
    }
}

TEST_CASE("the time of an order counts from when its runner accepts it")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const auto orders = plan.due(runners_with({1}), at(0));
    REQUIRE(orders.size() == 1);
    plan.ordered(orders[0], OrderOutcome::Accepted, at(600));
    plan.reported(orders[0], 1, false, at(800));
    CHECK(plan.open().size() == 1);
    plan.reported(orders[0], 1, false, at(1400));
    CHECK(plan.open().empty());
}

TEST_CASE("a plan reports for a while which runners have loaded")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    const auto orders =
        plan.due(runners_with({1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}), at(0));
    REQUIRE(orders.size() == 2);
    plan.ordered(orders[0], OrderOutcome::Accepted, at(10));
    plan.ordered(orders[1], OrderOutcome::AlreadyLoaded, at(10));
    plan.reported(orders[0], 1, true, at(500));
    REQUIRE(plan.loaded(at(500)).size() == 1);
    CHECK(plan.loaded(at(500))[0].runner == orders[1].runner);
    plan.reported(orders[0], 2, false, at(900));
    CHECK(plan.loaded(at(900)).size() == 2);
    CHECK(plan.loaded(at(5000)).empty());
}

TEST_CASE("a plan reports the fraction of runners with the newest weights")
{
    WeightsPlan plan(bound);
    plan.follow(model, history({2}));
    CHECK(plan.updated_fraction(runners_with({2, 1, 1, 1})) == 0.25);
    CHECK(plan.updated_fraction(runners_with({2, 2})) == 1);
}

} // namespace crosslink
