// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/platform_availability.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

Micros
span(int millis)
{
    return std::chrono::milliseconds(millis);
}

} // namespace

TEST_CASE("time counts except during outages and until orders resume")
{
    PlatformAvailability reach(span(3000));
    CHECK(reach.available_time(at(0), at(4000)) == span(4000));
    reach.lost(at(5000));
    CHECK_FALSE(reach.in_reach());
    reach.lost(at(6000));
    CHECK(reach.available_time(at(0), at(9000)) == span(5000));
    reach.regained(at(10'000));
    CHECK(reach.in_reach());
    CHECK(reach.available_time(at(0), at(12'000)) == span(5000));
    CHECK(reach.available_time(at(0), at(14'000)) == span(6000));
    CHECK(reach.available_time(at(9000), at(14'000)) == span(1000));
    CHECK(reach.available_time(at(13'500), at(14'000)) == span(500));
}

TEST_CASE("a connection that breaks is no outage of the platform")
{
    PlatformAvailability reach(span(3000));
    reach.lost(at(5000));
    reach.regained(at(6400));
    CHECK(reach.available_time(at(0), at(7000)) == span(7000));
}

TEST_CASE("there is no outage where another instance reaches the platform")
{
    PlatformAvailability reach(span(3000));
    reach.lost(at(5000));
    for (int millis = 5150; millis < 9000; millis += 150)
        reach.reached_by_another(at(millis));
    CHECK(reach.available_time(at(0), at(9000)) == span(9000));
    reach.regained(at(9100));
    CHECK(reach.available_time(at(0), at(10'000)) == span(10'000));
    reach.reached_by_another(at(10'000));
    CHECK(reach.in_reach());
}

TEST_CASE("no time is subtracted twice")
{
    PlatformAvailability reach(span(3000));
    reach.lost(at(1000));
    reach.regained(at(3000));
    reach.lost(at(4000));
    CHECK(reach.available_time(at(0), at(5800)) == span(1000));
    reach.regained(at(6000));
    CHECK(reach.available_time(at(0), at(9000)) == span(1000));
    CHECK(reach.available_time(at(0), at(10'000)) == span(2000));
}

} // namespace crosslink
