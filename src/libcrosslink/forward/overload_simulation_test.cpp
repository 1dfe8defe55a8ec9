// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/played_load.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

using testing::PlayedFleet;
using testing::PlayedKind;
using testing::PlayedLoad;
using testing::PlayedTally;

constexpr std::size_t urgent = 0;
constexpr std::size_t large = 1;
constexpr std::size_t zones = 3;
constexpr double from = 8;
constexpr double to = 30; ///< Two swings of the zones' demand.

/// What differs between the two workloads of docs/design/overload.md.
struct Workload {
    std::size_t instances = 30;
    std::size_t engines = 30;
    double tokens_per_ms = 36.7;
    double slow_speed = 1 / 1.3;
    std::uint32_t memory = 45'102;
    double small_per_second = 317;
    double large_per_second = 139;
    std::uint32_t small_events = 49;
    std::uint32_t large_events = 9;
    int small_objective_ms = 800;
    int large_objective_ms = 2000;
    double swing = 0.27;
    double period = 11;
    double first_zone = 1; ///< Its demand relative to the others.
};

Workload
second_workload()
{
    return {27, 42, 69.8, 1,   43'416, 222, 443,
            42, 7,  400,  600, 0.55,   17,  4.0 / 3};
}

/// Tokens that all engines prefill in a second.
double
capacity(const Workload& work)
{
    const auto engines = static_cast<double>(work.engines);
    return engines * work.tokens_per_ms * 1000 * (2 + work.slow_speed) / 3;
}

/// The two streamed kinds in their proportions; load 1 takes the capacity.
std::vector<PlayedKind>
kinds_of(const Workload& work)
{
    PlayedKind small;
    small.per_second = work.small_per_second;
    small.resident = small.to_read = 827;
    small.to_make = work.small_events;
    small.objective = std::chrono::milliseconds(work.small_objective_ms);
    small.deadline = std::chrono::milliseconds(12'000);
    PlayedKind big;
    big.per_second = work.large_per_second;
    big.priority = 1;
    big.resident = big.to_read = 9190;
    big.to_make = work.large_events;
    big.objective = std::chrono::milliseconds(work.large_objective_ms);
    big.deadline = std::chrono::milliseconds(12'000);
    const double scale = capacity(work) / (small.per_second * small.to_read +
                                           big.per_second * big.to_read);
    small.per_second *= scale;
    big.per_second *= scale;
    return {small, big};
}

PlayedFleet
fleet_of(const Workload& work, std::vector<double> accounts)
{
    PlayedFleet fleet;
    fleet.engines = work.engines;
    fleet.instances = work.instances;
    fleet.zones = zones;
    fleet.told_ms = 100;
    fleet.told_age_ms = 300;
    fleet.home_instances = 3;
    fleet.speed = work.tokens_per_ms / 48;
    fleet.slow_speed = work.slow_speed;
    fleet.memory = work.memory;
    fleet.accounts = std::move(accounts);
    fleet.zone_demand = [work](std::size_t zone, double second) {
        const double phase =
            second / work.period + static_cast<double>(zone) / zones;
        const double swing =
            1 + work.swing * std::sin(2 * std::numbers::pi * phase);
        return zone == 0 ? work.first_zone * swing : swing;
    };
    return fleet;
}

/// 24 accounts; the first sends 28% of the calls, three others 8%.
std::vector<double>
uneven_accounts()
{
    std::vector<double> accounts(24, 0.48 / 20);
    accounts[0] = 0.28;
    for (std::size_t i = 1; i <= 3; ++i)
        accounts[i] = 0.08;
    return accounts;
}

PlayedLoad
played_at_twice(const Workload& work, std::vector<PlayedKind> kinds)
{
    PlayedLoad played(std::move(kinds), fleet_of(work, uneven_accounts()));
    played.play(34, [](double) { return 2; });
    return played;
}

PlayedTally
tally_of_account(const PlayedLoad& played, std::size_t kind,
                 std::size_t account)
{
    return played.tally({from, to, kind, account});
}

} // namespace

// Guards against queues that grow to several objectives because each instance
// sends what looks acceptable by reports that are 0.3 s old.
TEST_CASE("at twice the capacity, the urgent kind is answered in time")
{
    for (const Workload& work : {Workload{}, second_workload()}) {
        const PlayedLoad played = played_at_twice(work, kinds_of(work));
        const PlayedTally first = played.tally(urgent, from, to);
        const PlayedTally second = played.tally(large, from, to);
        const PlayedTally all = played.tally({from, to});
        INFO("urgent " << first.in_time_part() << ", large "
                       << second.in_time_part() << ", goodput "
                       << all.in_time_tokens / (to - from) / capacity(work));
        CHECK(first.in_time_part() >= 0.95);
        CHECK(second.in_time_part() >= 0.25);
        for (std::size_t zone = 0; zone < zones; ++zone) {
            const PlayedTally part = played.tally({from, to, {}, {}, zone});
            CHECK(part.in_time_part() >= all.in_time_part() - 0.05);
        }
        for (std::size_t account = 0; account < 24; ++account) {
            const PlayedTally small = tally_of_account(played, urgent, account);
            const PlayedTally big = tally_of_account(played, large, account);
            CHECK(small.in_time_part() >= big.in_time_part());
            CHECK(big.in_time > 0);
        }
    }
}

// Guards against accounts that get by what they send: 28% of the calls.
TEST_CASE("at twice the capacity, a large account does not crowd out others")
{
    for (const Workload& work : {Workload{}, second_workload()}) {
        const PlayedLoad played = played_at_twice(work, kinds_of(work));
        const double largest =
            tally_of_account(played, large, 0).in_time_part();
        PlayedTally others;
        for (std::size_t account = 4; account < 24; ++account) {
            const PlayedTally one = tally_of_account(played, large, account);
            others.asked += one.asked;
            others.in_time += one.in_time;
        }
        INFO("largest " << largest << ", others " << others.in_time_part());
        CHECK(others.in_time_part() > 3 * largest);
    }
}

} // namespace crosslink
