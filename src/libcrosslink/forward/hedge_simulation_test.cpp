// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/played_hedges.h"

#include <catch2/catch.hpp>

#include <cstdio>

namespace crosslink
{

namespace
{

constexpr int played_seconds = 180;
/// Observations are few before.
const TimePoint settled(std::chrono::seconds(13));

testing::PlayedHedges
played(double ratio, double load, double slow_factor)
{
    testing::PlayedRunners fleet;
    fleet.hedge_ratio = ratio;
    fleet.load = load;
    fleet.slow_factor = slow_factor;
    testing::PlayedHedges hedges(fleet);
    hedges.play(played_seconds);
    return hedges;
}

double
copies_per_call(const testing::PlayedHedges& hedges)
{
    return static_cast<double>(hedges.copies()) /
           static_cast<double>(hedges.calls());
}

} // namespace

TEST_CASE("hedges cut late answers where one runner of twelve is slow")
{
    const auto without = played(0, 0.5, 3.5);
    const auto with = played(0.05, 0.5, 3.5);
    CHECK(seconds(with.quantile(0.99, settled)) <
          0.8 * seconds(without.quantile(0.99, settled)));
    CHECK(copies_per_call(with) <= 0.05);
    CHECK(with.work() <= 1.05);
}

TEST_CASE("nothing is hedged at twice the capacity")
{
    for (const double slow_factor : {1.0, 3.5, 30.0})
        CHECK(played(0.05, 2, slow_factor).copies() == 0);
}

/// Prints the table of docs/design/hedging.md.
TEST_CASE("late answers against the extra work of hedges", "[.curve]")
{
    for (const double slow_factor : {1.0, 3.5, 10.0})
        for (const double load : {0.5, 0.8, 2.0})
            for (const double ratio : {0.0, 0.01, 0.02, 0.05}) {
                const auto hedges = played(ratio, load, slow_factor);
                std::printf("| %.1f | %.1f | %.2f | %.0f | %.0f | %.4f | %.4f "
                            "|\n",
                            slow_factor, load, ratio,
                            seconds(hedges.quantile(0.5, settled)) * 1000,
                            seconds(hedges.quantile(0.99, settled)) * 1000,
                            copies_per_call(hedges), hedges.work() - 1);
            }
}

} // namespace crosslink
