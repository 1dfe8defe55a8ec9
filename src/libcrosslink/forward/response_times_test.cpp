// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/response_times.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr std::uint64_t small = 100;
constexpr std::uint64_t large = 10'000;

TimePoint
at(std::int64_t seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

Micros
ms(std::int64_t millis)
{
    return std::chrono::milliseconds(millis);
}

/// Times of 1 to `count` ms.
ResponseTimes
times_up_to(int count)
{
    ResponseTimes times;
    for (int i = 1; i <= count; ++i)
        times.add("s", small, ms(i), at(0));
    return times;
}

} // namespace

TEST_CASE("a quantile of response times is at most a fifth too high")
{
    const ResponseTimes times = times_up_to(1000);
    for (const double part : {0.5, 0.9, 0.99}) {
        const auto found = times.quantile("s", small, part, at(0));
        REQUIRE(found);
        CHECK(seconds(*found) >= part - 1e-9);
        CHECK(seconds(*found) <= part * 1.2 + 1e-9);
    }
}

TEST_CASE("services and sizes of prompts have response times of their own")
{
    const ResponseTimes times = times_up_to(100);
    CHECK(times.quantile("s", small, 0.9, at(0)));
    CHECK_FALSE(times.quantile("s", large, 0.9, at(0)));
    CHECK_FALSE(times.quantile("other", small, 0.9, at(0)));
}

TEST_CASE("too few or too old response times tell nothing")
{
    CHECK_FALSE(times_up_to(19).quantile("s", small, 0.9, at(0)));
    const ResponseTimes times = times_up_to(40);
    CHECK(times.quantile("s", small, 0.9, at(29)));
    CHECK_FALSE(times.quantile("s", small, 0.9, at(31)));
}

TEST_CASE("recent response times outweigh old ones")
{
    ResponseTimes times = times_up_to(100);
    for (int i = 0; i < 100; ++i)
        times.add("s", small, ms(2000), at(120));
    const auto found = times.quantile("s", small, 0.1, at(120));
    REQUIRE(found);
    CHECK(*found >= ms(2000));
}

TEST_CASE("response times beyond all bounds are kept")
{
    ResponseTimes times;
    for (int i = 0; i < 50; ++i)
        times.add("s", ~std::uint64_t{0}, std::chrono::hours(1), at(0));
    CHECK(times.quantile("s", ~std::uint64_t{0}, 0.9, at(0)) > ms(60'000));
}

} // namespace crosslink
