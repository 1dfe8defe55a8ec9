// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/load_aggregator.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crosslink
{

TEST_CASE("an instance gets the sum of the recent reports of all others")
{
    const auto at = [](int millis) {
        return TimePoint(std::chrono::milliseconds(millis));
    };
    LoadAggregator aggregator;
    aggregator.record_report("one", {{"r", {1, 100}}}, at(0));
    aggregator.record_report("two", {{"r", {2, 200}}, {"q", {1, 1}}}, at(0));
    aggregator.record_report("three", {{"r", {4, 400}}}, at(10));
    const auto load = aggregator.others("one", at(20));
    CHECK(load.at("r").calls == 6);
    CHECK(load.at("r").tokens == 600);
    CHECK(load.at("q").calls == 1);
    CHECK(aggregator.others("one", at(1005)).at("r").calls == 4);
    aggregator.record_report("two", {}, at(2000));
    CHECK(aggregator.others("one", at(2000)).empty());
}

TEST_CASE("the sum consists of the latest reports, whatever came before")
{
    CHECK(rc::check("the sum is that of all instances", [] {
        LoadAggregator aggregator;
        std::map<std::string, std::map<std::string, RunnerLoad>> last;
        const auto reports =
            *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 9)));
        for (const auto& [instance, calls] : reports) {
            const std::string name = "i" + std::to_string(instance);
            const auto count = static_cast<std::uint64_t>(calls);
            last[name] = {
                {"r" + std::to_string(calls % 3),
                 {static_cast<std::uint32_t>(calls), count * 100, count * 7}}};
            if (calls == 0)
                last[name].clear();
            aggregator.record_report(name, last[name], TimePoint{});
        }
        std::map<std::string, RunnerLoad> sum;
        for (const auto& [name, load] : last)
            if (name != "i0")
                add_load(sum, load);
        RC_ASSERT(aggregator.others("i0", TimePoint{}) == sum);
    }));
}

} // namespace crosslink
