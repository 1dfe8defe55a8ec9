// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Fleets of which all instances lose the platform's history at the same moment:
// how many of them read everything again, and when.

#include <crosslink/membership/reread_plan.h>

#include <catch2/catch.hpp>

#include <cstddef>
#include <random>
#include <vector>

namespace crosslink
{

namespace
{

constexpr std::uint64_t seed = 44;
constexpr StorePosition lost_position{1, 7};
constexpr StorePosition next_position{1, 8};
constexpr Micros round_pause = std::chrono::milliseconds(100);
constexpr std::size_t children_of_parent = 16;

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

/// Returns how many of a fleet's instances read all in each second until `end`,
/// if instances learn from others at `others_know`, or never do.
std::vector<std::size_t>
reads_by_second(std::size_t instances, std::size_t runners,
                TimePoint others_know, int seconds)
{
    std::mt19937_64 random(seed);
    std::vector<std::size_t> reads(static_cast<std::size_t>(seconds));
    for (std::size_t i = 0; i < instances; ++i) {
        RereadPlan plan(random());
        const bool has_duty = i == 0;
        const RereadRole role{i % children_of_parent == 0, instances, runners};
        plan.history_lost(lost_position, role, at(0));
        const TimePoint end = has_duty
                                  ? at(1000 * seconds)
                                  : std::min(others_know, at(1000 * seconds));
        for (TimePoint now = at(0); now < end; now += round_pause) {
            if (!plan.is_due(lost_position, has_duty, now))
                continue;
            ++reads[static_cast<std::size_t>((now - at(0)) /
                                             std::chrono::seconds(1))];
            break;
        }
    }
    return reads;
}

} // namespace

TEST_CASE("of a large fleet that loses the history, few read all again")
{
    // The holder reads for a second, and three levels take half a second each.
    const TimePoint others_know = at(2500);
    for (const std::size_t instances : {985, 1970}) {
        CAPTURE(instances);
        const auto reads =
            reads_by_second(instances, 10 * instances, others_know, 3);
        CHECK(reads[0] + reads[1] + reads[2] <= instances / 10);
    }
}

TEST_CASE("instances that learn from nobody never fill the platform's link")
{
    constexpr double bytes_per_entry = 350;
    constexpr double link = 125e6; // bytes a second
    for (const std::size_t instances : {985, 1970}) {
        CAPTURE(instances);
        const std::size_t runners = 10 * instances;
        std::size_t most = 0;
        for (const std::size_t reads :
             reads_by_second(instances, runners, at(60'000), 60))
            most = std::max(most, reads);
        const double bytes =
            static_cast<double>(most * runners) * bytes_per_entry;
        // Parents read in the first seconds, beside the others.
        CHECK(bytes <= 1.5 * link);
    }
}

TEST_CASE("a small fleet reads at once")
{
    for (const std::size_t instances : {1, 9, 60}) {
        const auto reads =
            reads_by_second(instances, 10 * instances, at(1000), 1);
        CHECK(reads[0] == instances);
    }
}

TEST_CASE("the holder reads at once, the others leave the platform alone")
{
    RereadPlan plan(seed);
    const RereadRole role{false, 985, 9773};
    CHECK_FALSE(plan.is_lost(lost_position));
    CHECK_FALSE(plan.must_wait(lost_position, at(0)));
    CHECK_FALSE(plan.is_due(lost_position, true, at(0)));
    plan.history_lost(lost_position, role, at(0));
    CHECK(plan.is_due(lost_position, true, at(0)));
    CHECK(plan.must_wait(lost_position, at(0)));
    CHECK(plan.is_due(lost_position, false, at(60'000)));
    CHECK(plan.is_lost(lost_position));
    // Changes from another instance have come since.
    CHECK_FALSE(plan.must_wait(next_position, at(0)));
    CHECK_FALSE(plan.is_due(next_position, false, at(60'000)));
    // What was read is of the same revision: the platform is asked again.
    plan.read_all_done();
    CHECK_FALSE(plan.is_due(lost_position, true, at(60'000)));
}

} // namespace crosslink
