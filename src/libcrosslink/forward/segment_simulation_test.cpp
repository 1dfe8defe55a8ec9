// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/played_load.h"
#include "../testing/played_workload.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

using testing::kinds_of_many_engines;
using testing::many_engines;
using testing::PlayedFleet;
using testing::PlayedKind;
using testing::PlayedLoad;

Micros
millis(int count)
{
    return std::chrono::milliseconds(count);
}

/// 88 instances before 90 engines, a third of them slower.
PlayedFleet
many_instances()
{
    PlayedFleet fleet = many_engines();
    fleet.engines = 90;
    fleet.instances = 88;
    fleet.speed = 0.84;
    fleet.slow_speed = 1 / 1.3;
    fleet.memory = 45'102;
    fleet.store_tokens_per_ms = 50;
    return fleet;
}

std::vector<PlayedKind>
kinds_of_many_instances()
{
    std::vector<PlayedKind> kinds = kinds_of_many_engines();
    kinds[0].per_second = 1.3 * 317;
    kinds[0].objective = millis(800);
    kinds[0].to_make = 49;
    kinds[1].per_second = 1.3 * 139;
    kinds[1].objective = millis(2000);
    kinds[1].to_make = 9;
    kinds[1].parts[1].distinct = 2274;
    return kinds;
}

/// What callers and engines get after some seconds.
struct Outcome {
    double again_share = 0;
    std::vector<Micros> first_tokens; ///< Median, 95 and 99 in 100.
    double in_time = 0;
};

Outcome
play(const std::vector<PlayedKind>& kinds, PlayedFleet fleet, bool segments)
{
    fleet.segments = segments;
    PlayedLoad played(kinds, fleet);
    bool warm = false;
    played.play(40, [&](double second) {
        if (second >= 20 && !warm)
            played.tokens() = {};
        warm = second >= 20;
        return 1.0;
    });
    Outcome outcome;
    outcome.again_share = played.tokens().again_share();
    for (const double quantile : {0.5, 0.95, 0.99})
        outcome.first_tokens.push_back(played.first_token(1, 20, 39, quantile));
    outcome.in_time = played.tally(1, 20, 39).in_time_part();
    return outcome;
}

/// Checks that with holders, no first token comes later than without. Returns
/// the part of the tokens read that were read again without and with them.
std::pair<double, double>
compare(const std::vector<PlayedKind>& kinds, const PlayedFleet& fleet)
{
    const Outcome before = play(kinds, fleet, false);
    const Outcome after = play(kinds, fleet, true);
    for (std::size_t i = 0; i < before.first_tokens.size(); ++i)
        CHECK(after.first_tokens[i] <= before.first_tokens[i]);
    CHECK(after.in_time >= 0.999);
    return {before.again_share, after.again_share};
}

} // namespace

// Both guard against calls that are spread over engines regardless of what
// those have in memory, and against queues at the engines that have it.

TEST_CASE("engines read few segments again, and no first token comes later")
{
    const auto [before, after] =
        compare(kinds_of_many_engines(), many_engines());
    INFO("read again " << before << ", " << after);
    CHECK(before > 0.2);
    CHECK(after < 0.1);
}

TEST_CASE("few home engines for each instance read fewer segments again")
{
    const auto [before, after] =
        compare(kinds_of_many_instances(), many_instances());
    INFO("read again " << before << ", " << after);
    CHECK(before > 0.2);
    CHECK(after < 0.75 * before);
}

} // namespace crosslink
