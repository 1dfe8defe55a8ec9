// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Simulates fleets of 3 to 300 instances that share which requests ended
// runners, with messages late or lost. If each instance knew only what it saw
// itself, each of them would lose three runners.

#include "../testing/played_crashes.h"

#include <catch2/catch.hpp>

#include <array>

namespace crosslink
{

namespace
{

using testing::CrashPlay;
using testing::PlayedCrashes;

constexpr std::size_t most_sent_later = 3;
constexpr std::uint32_t seeds = 6;
constexpr std::array<std::size_t, 4> sizes{3, 16, 71, 300};

void
check_one(const CrashPlay& play)
{
    PlayedCrashes simulation(play);
    simulation.run();
    INFO("instances " << play.instances << " seed " << play.seed << " ends "
                      << simulation.ends());
    CHECK(simulation.ends() >= CrashHistory::most_ends);
    CHECK(simulation.sent_later() <= most_sent_later);
    CHECK(simulation.refused() > 0);
}

/// Simulates fleets of all sizes with all seeds.
void
check_sent_later(CrashPlay play)
{
    for (const std::size_t instances : sizes)
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            play.instances = instances;
            play.seed = seed;
            check_one(play);
        }
}

} // namespace

TEST_CASE("a request that ends runners is soon sent to none")
{
    check_sent_later({});
}

TEST_CASE("a request that ends runners is soon blocked with two callers")
{
    CrashPlay play;
    play.callers = 2;
    check_sent_later(play);
}

TEST_CASE("a request that ends runners is soon blocked despite lost exchanges")
{
    CrashPlay play;
    play.lost = 0.33;
    check_sent_later(play);
}

TEST_CASE("so it is where a zone is cut off meanwhile")
{
    CrashPlay play;
    for (const int cut_ms : {0, 400, 1200}) {
        play.zone_cut = std::chrono::milliseconds(cut_ms);
        check_sent_later(play);
    }
}

// The holder of the duty is cut off, and for 6 s the others do not learn who
// holds it next (the lease ends after 3 s; an instance that fails twice to
// reach the holder asks another instance). Runners end on both sides, unknown
// to the other one. If ends were reported for only 1.5 s, the sides would not
// inform each other after the partition, and four more runners would end (seed
// 11).
TEST_CASE("what was seen behind a cut is told after it")
{
    CrashPlay play;
    play.instances = 300;
    play.time = std::chrono::seconds(40);
    play.holder_heard = std::chrono::seconds(6);
    for (const int cut_ms : {0, 400, 1200, 8000})
        for (const std::uint32_t seed : {7U, 11U}) {
            play.zone_cut = std::chrono::milliseconds(cut_ms);
            play.seed = seed;
            check_one(play);
        }
}

TEST_CASE("a request that ends runners is blocked at instances started later")
{
    CrashPlay play;
    for (const int fresh_ms : {1500, 8000}) {
        play.fresh = std::chrono::milliseconds(fresh_ms);
        check_sent_later(play);
    }
}

// Copies of one harmless request are in flight at all times, and runners are
// lost for another reason, three at once in each second.
TEST_CASE("a popular request is served though its runners are lost")
{
    for (const std::size_t instances : sizes)
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            CrashPlay play;
            play.instances = instances;
            play.seed = seed;
            play.callers = 12;
            play.lost_each = std::chrono::seconds(1);
            PlayedCrashes simulation(play);
            simulation.run();
            INFO("instances " << instances << " seed " << seed << " ends "
                              << simulation.ends());
            CHECK(simulation.ends() > CrashHistory::most_ends);
            CHECK(simulation.refused() == 0);
            CHECK_FALSE(simulation.any_blocked());
        }
}

TEST_CASE("a request that ends runners is blocked after all instances ended")
{
    CrashPlay play;
    play.all_killed = std::chrono::seconds(8);
    check_sent_later(play);
}

} // namespace crosslink
