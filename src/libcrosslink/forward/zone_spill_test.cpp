// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/model_runners.h"
#include "../testing/played_load.h"
#include "../testing/played_workload.h"

#include <crosslink/forward/zone_spill.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace crosslink
{

using namespace testing::model_runners;

namespace
{

constexpr std::size_t large = 1;

/// Returns how many of 1,000 calls of zone "a" leave it.
int
spilled(const ZoneSpill::Costs& costs)
{
    std::mt19937_64 random(1);
    int count = 0;
    for (int i = 0; i < 1000; ++i)
        count += ZoneSpill::choose("a", costs, random()) != "a" ? 1 : 0;
    return count;
}

/// A table of instance "i0" of eight in zone "a", with four runners in each of
/// the zones "a" and "b". Those of "a" have queues.
RunnerTable
busy_zone(std::string_view known_zone)
{
    RunnerTable table;
    for (int i = 0; i < 8; ++i)
        table.members().listed({"i" + std::to_string(i), "", "a", 0},
                               at(-9000));
    std::map<std::string, RunnerLoad> load;
    for (int i = 0; i < 4; ++i) {
        const std::string number = std::to_string(i);
        table.put(runner("a" + number, "a"), at(0));
        table.put(runner("b" + number, "b"), at(0));
        load["a" + number] = {4, 10'000};
    }
    table.set_remote_load(load, at(0), known_zone);
    return table;
}

/// Returns how many of 500 calls of zone "a" go to zone "b".
int
to_other_zone(const RunnerTable& table)
{
    std::mt19937_64 random(1);
    int count = 0;
    for (int i = 0; i < 500; ++i) {
        RunnerQuery ask = query(10);
        ask.instance = "i0";
        ask.instances = 8;
        ask.home_instances = 3;
        ask.random = random();
        count += chosen(table, ask).starts_with('b') ? 1 : 0;
    }
    return count;
}

/// Three zones whose demand is `demand` times the mean.
testing::PlayedLoad
played_zones(std::function<double(std::size_t, double)> demand)
{
    testing::PlayedFleet fleet = testing::many_engines();
    fleet.engines = 138;
    fleet.instances = 27;
    fleet.store_tokens_per_ms = 200;
    fleet.segments = true;
    fleet.zone_demand = std::move(demand);
    std::vector<testing::PlayedKind> kinds = testing::kinds_of_many_engines();
    kinds[large].deadline = std::chrono::seconds(4);
    testing::PlayedLoad played(kinds, fleet);
    // More than the zone with the greatest demand can prefill by itself.
    played.play(36, [](double second) { return second < 6 ? 1 : 2.6; });
    return played;
}

/// Checks that no zone's large kind is served much worse than the mean.
void
check_zones(const testing::PlayedLoad& played)
{
    const double mean = played.tally(large, 8, 35).in_time_part();
    for (std::size_t zone = 0; zone < 3; ++zone) {
        const double part =
            played.zone_tally(zone, large, 8, 35).in_time_part();
        INFO("zone " << zone << ": " << part << ", mean " << mean);
        CHECK(part > mean - 0.05);
    }
}

} // namespace

TEST_CASE("the part of the calls that leaves a zone follows the waits")
{
    CHECK(spilled({{"a", 20}, {"b", 10}}) == 0);
    CHECK(spilled({{"a", 0}, {"b", 200}}) == 0);
    const int some = spilled({{"a", 100}, {"b", 0}, {"c", 90}});
    CHECK(some > 50);
    CHECK(some < 130);
    CHECK(spilled({{"a", 9000}, {"b", 0}}) < 300);
    // The wait of the own zone is not known.
    CHECK(spilled({{"b", 0}}) == 0);
}

TEST_CASE("calls leave a busy zone for one that is known to be free")
{
    CHECK(to_other_zone(busy_zone("")) > 50);
    // Cut off: the load of the other zone is not known.
    CHECK(to_other_zone(busy_zone("a")) == 0);
    RunnerTable silent = busy_zone("");
    silent.silent("b0", at(5));
    CHECK(to_other_zone(silent) == 0);
    RunnerTable evacuated = busy_zone("");
    evacuated.evacuate("b", true, at(5));
    CHECK(to_other_zone(evacuated) == 0);
    evacuated.evacuate("a", true, at(5));
    evacuated.evacuate("b", false, at(-60'000));
    CHECK(to_other_zone(evacuated) == 500);
}

// Guards against zones that refuse calls while others have capacity.
TEST_CASE("zones whose demand swings out of phase are served alike")
{
    const auto played = played_zones([](std::size_t zone, double second) {
        const double phase = second / 17 + static_cast<double>(zone) / 3;
        return 1 + 0.55 * std::sin(2 * std::numbers::pi * phase);
    });
    check_zones(played);
    CHECK(played.crossed_share(8, 35) < 0.1);
}

// Guards against instances that all move at once on the same old reports.
TEST_CASE("the part that leaves a zone does not swing after a step")
{
    const auto played = played_zones([](std::size_t zone, double second) {
        return second < 15 ? 1.0 : zone == 0 ? 1.6 : 0.7;
    });
    check_zones(played);
    CHECK(played.crossed_share(8, 15) < 0.03);
    for (int second = 19; second < 35; ++second) {
        INFO("second " << second);
        CHECK(played.crossed_share(second, second + 1) > 0.03);
        CHECK(played.crossed_share(second, second + 1) < 0.13);
    }
}

} // namespace crosslink
