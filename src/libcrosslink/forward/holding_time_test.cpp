// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/holding_time.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

double
seconds_after(int calls, std::uint64_t resident, int millis)
{
    HoldingTime holding;
    for (int i = 0; i < calls; ++i)
        holding.add(resident, std::chrono::milliseconds(millis));
    return seconds(holding.mean());
}

} // namespace

TEST_CASE("before any call ended, the holding time is some seconds")
{
    CHECK(seconds(HoldingTime().mean()) == Approx(2));
}

TEST_CASE("the holding time follows the calls that ended")
{
    CHECK(seconds_after(50, 12'000, 5000) == Approx(5).epsilon(0.15));
    CHECK(seconds_after(50, 12'000, 300) == Approx(0.3).epsilon(0.6));
}

TEST_CASE("small calls that end soon do not hide the large ones")
{
    HoldingTime holding;
    for (int i = 0; i < 100; ++i) {
        holding.add(12'000, std::chrono::seconds(4));
        holding.add(1'000, std::chrono::milliseconds(200));
    }
    CHECK(seconds(holding.mean()) > 3);
}

TEST_CASE("older calls are forgotten")
{
    HoldingTime holding;
    for (int i = 0; i < 100; ++i)
        holding.add(12'000, std::chrono::seconds(8));
    for (int i = 0; i < 60; ++i)
        holding.add(12'000, std::chrono::seconds(1));
    CHECK(seconds(holding.mean()) < 1.5);
}

} // namespace crosslink
