// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Simulates fleets of 4 to 295 instances to which requests come that share one
// part, which ends each runner that would begin to answer it.

#include "../testing/played_parts.h"

#include <catch2/catch.hpp>

#include <array>

namespace crosslink
{

namespace
{

using testing::PartPlay;
using testing::PlayedParts;

constexpr std::size_t most_sent_later = 3;
constexpr std::uint32_t seeds = 3;
constexpr double most_refused = 0.05;
/// From then on, sound calls must be served again.
constexpr Micros settled = std::chrono::seconds(9);

/// Sizes of fleets, and the traffic before them.
struct FleetSize {
    std::size_t instances;
    std::size_t runners;
    double sound_calls;
};
constexpr FleetSize large{295, 800, 400};
constexpr std::array<FleetSize, 3> sizes{{{4, 12, 30}, {82, 200, 200}, large}};

void
check_one(const PartPlay& play)
{
    PlayedParts simulation(play);
    simulation.run();
    INFO("instances " << play.instances << " seed " << play.seed);
    for (std::size_t i = 0; i < play.bad_parts; ++i) {
        INFO("part " << i << " ends " << simulation.ends(i));
        CHECK((play.bad_calls == 0 ||
               simulation.ends(i) >= CrashHistory::most_ends));
        CHECK(simulation.sent_later(i) <= most_sent_later);
    }
    CHECK(simulation.refused_share(play.sound_before + settled) <=
          most_refused);
}

void
check_size(PartPlay play, const FleetSize& size, std::uint32_t seed)
{
    play.instances = size.instances;
    play.runners = size.runners;
    play.sound_calls = size.sound_calls;
    play.seed = seed;
    check_one(play);
}

/// Simulates fleets of all sizes up to `most` instances with all seeds.
void
check_all(const PartPlay& play, std::size_t most = large.instances)
{
    for (const FleetSize& size : sizes)
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
            if (size.instances <= most)
                check_size(play, size, seed);
}

PartPlay
bad_part_and_waves()
{
    PartPlay play;
    play.wave = std::chrono::seconds(2);
    return play;
}

PartPlay
waves_alone()
{
    PartPlay play;
    play.bad_calls = 0;
    play.wave = std::chrono::seconds(1);
    play.time = std::chrono::seconds(12);
    return play;
}

} // namespace

TEST_CASE("a part that ends runners is soon sent to none, and sound calls are")
{
    for (const double bad_calls : {1.0, 4.0, 12.0}) {
        PartPlay play;
        play.bad_calls = bad_calls;
        check_all(play);
    }
}

TEST_CASE("so it is where the first part ends runners")
{
    PartPlay play;
    play.bad_is_first = true;
    check_all(play);
}

TEST_CASE("so it is where two parts end runners")
{
    PartPlay play;
    play.bad_parts = 2;
    check_all(play);
}

TEST_CASE("so it is where the part was sound before")
{
    PartPlay play;
    play.sound_before = std::chrono::seconds(5);
    play.time = std::chrono::seconds(24);
    check_all(play);
    // More ends than are kept come before others hear of them.
    play.instances = 82;
    play.runners = 200;
    play.sound_calls = 200;
    for (const std::uint32_t seed : {16U, 18U}) {
        play.seed = seed;
        check_one(play);
    }
}

TEST_CASE("so it is where runners are lost in waves as well")
{
    check_all(bad_part_and_waves(), large.instances - 1);
}

TEMPLATE_TEST_CASE_SIG("so it is in a large fleet with waves by seed", "",
                       ((std::uint32_t Seed), Seed), 1, 2, 3)
{
    check_size(bad_part_and_waves(), large, Seed);
}

TEST_CASE("a part that ends runners is soon sent to none despite a cut zone")
{
    for (const int cut_ms : {0, 400, 1200}) {
        PartPlay play;
        play.lost = 0.2;
        play.zone_cut = std::chrono::milliseconds(cut_ms);
        check_all(play);
    }
}

TEST_CASE("a part that ends runners stays blocked where all start anew")
{
    PartPlay play;
    play.all_killed = std::chrono::seconds(8);
    play.time = std::chrono::seconds(24);
    check_all(play);
}

TEST_CASE("sound calls are not refused where runners are lost in waves")
{
    check_all(waves_alone(), large.instances - 1);
}

TEMPLATE_TEST_CASE_SIG("sound calls are served in a large fleet by seed", "",
                       ((std::uint32_t Seed), Seed), 1, 2, 3)
{
    check_size(waves_alone(), large, Seed);
}

} // namespace crosslink
