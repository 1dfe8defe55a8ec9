// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/weights_history.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr Micros bound = std::chrono::seconds(10);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_CASE("weights count as named when the first instance learned of them")
{
    WeightsHistory history;
    history.named(1, TimePoint(Micros(0)));
    history.named(2, TimePoint(std::chrono::seconds(9)));
    history.named_earlier(2, TimePoint(std::chrono::seconds(4)));
    history.named_earlier(2, TimePoint(std::chrono::seconds(6)));
    history.named_earlier(3, TimePoint(std::chrono::seconds(1)));
    WeightsHistory late;
    late.named(3, TimePoint(std::chrono::seconds(9)));
    late.named_earlier(2, TimePoint(std::chrono::seconds(4)));
    CHECK(late.replaced_at(1) == TimePoint(std::chrono::seconds(4)));
    CHECK(late.newest() == 3);
    CHECK(history.replaced_at(1) == TimePoint(std::chrono::seconds(4)));
    CHECK(history.newest() == 2);
    CHECK(history.minimum_version(std::chrono::seconds(10),
                                  TimePoint(std::chrono::seconds(14)),
                                  PlatformAvailability(Micros(0))) == 2);
}

TEST_CASE("a version is excluded when the bound has passed")
{
    WeightsHistory weights;
    CHECK(weights.newest() == 0);
    weights.named(2, at(1000));
    weights.named(1, at(2000));
    weights.named(5, at(4000));
    PlatformAvailability reach(Micros(0));
    CHECK(weights.newest() == 5);
    CHECK(weights.minimum_version(bound, at(10'999), reach) == 0);
    CHECK(weights.minimum_version(bound, at(11'000), reach) == 2);
    CHECK(weights.minimum_version(bound, at(14'000), reach) == 5);
    // Versions that were excluded before the platform became unreachable stay
    // excluded.
    reach.lost(at(12'000));
    CHECK(weights.minimum_version(bound, at(14'000), reach) == 2);
    reach.regained(at(14'000));
    CHECK(weights.minimum_version(bound, at(15'900), reach) == 2);
    CHECK(weights.minimum_version(bound, at(16'000), reach) == 5);
    CHECK(weights.replaced_at(1) == at(1000));
    CHECK(weights.replaced_at(2) == at(4000));
    CHECK_FALSE(weights.replaced_at(5));
}

} // namespace crosslink
