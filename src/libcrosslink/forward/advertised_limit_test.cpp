// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/advertised_limit.h>

#include <crosslink/forward/rate_share.h>

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

LimitUpdate
news_of(const AdvertisedLimit& limit)
{
    return {"r", 1, limit.per_second(), limit.change(), limit.confirmations()};
}

} // namespace

TEST_CASE("a limit holds from the answer that names it to the one that doesn't")
{
    AdvertisedLimit limit;
    CHECK_FALSE(limit.in_force());
    CHECK_FALSE(limit.apply_answer(no_rate_limit, 0, at(0)));
    CHECK(limit.apply_answer(1.5, 0, at(10)));
    CHECK(limit.in_force());
    CHECK_FALSE(limit.apply_answer(1.5, 1, at(20)));
    CHECK(limit.confirmed_at() == at(20));
    CHECK(limit.apply_answer(no_rate_limit, 1, at(30)));
    CHECK_FALSE(limit.in_force());
}

TEST_CASE("an answer to a call that was sent before the change says nothing")
{
    AdvertisedLimit limit;
    limit.apply_answer(1.5, 0, at(0));
    CHECK_FALSE(limit.apply_answer(no_rate_limit, 0, at(10)));
    CHECK(limit.per_second() == 1.5);
    CHECK(limit.confirmed_at() == at(0));
    limit.apply_answer(no_rate_limit, 1, at(20));
    CHECK_FALSE(limit.apply_answer(1.5, 1, at(30)));
    CHECK_FALSE(limit.in_force());
}

TEST_CASE("reports of another instance may arrive in any order")
{
    AdvertisedLimit first;
    first.apply_answer(1.5, 0, at(0));
    const LimitUpdate named = news_of(first);
    first.apply_answer(no_rate_limit, 1, at(10));
    const LimitUpdate ended = news_of(first);
    AdvertisedLimit second;
    CHECK(second.merge(named, at(20)));
    CHECK(second.merge(ended, at(30)));
    CHECK_FALSE(second.merge(named, at(40)));
    CHECK_FALSE(second.in_force());
    CHECK_FALSE(second.merge(ended, at(50)));
    CHECK(second.confirmed_at() == at(30));
}

TEST_CASE("of two changes that were heard apart the lower limit holds")
{
    AdvertisedLimit first;
    first.apply_answer(1.5, 0, at(0));
    AdvertisedLimit second;
    second.apply_answer(4, 0, at(0));
    CHECK_FALSE(first.merge(news_of(second), at(10)));
    CHECK(second.merge(news_of(first), at(10)));
    CHECK(first.per_second() == 1.5);
    CHECK(second.per_second() == 1.5);
    // The next answer decides.
    CHECK(second.apply_answer(4, second.change(), at(20)));
    CHECK(first.merge(news_of(second), at(30)));
    CHECK(first.per_second() == 4);
}

TEST_CASE("others are told of a limit, and for a minute of its end")
{
    AdvertisedLimit limit;
    CHECK_FALSE(limit.needs_reporting(at(0)));
    limit.apply_answer(1.5, 0, at(0));
    CHECK(limit.needs_reporting(at(3'600'000)));
    limit.apply_answer(no_rate_limit, 1, at(0));
    CHECK(limit.needs_reporting(at(59'000)));
    CHECK_FALSE(limit.needs_reporting(at(61'000)));
}

TEST_CASE("shares of a limit are in sum what is taken, or nearly so")
{
    for (const double limit : {0.0, 0.1, 0.5, 1.5, 7.0, 20.0, 900.0})
        for (std::size_t present = 1; present <= 300; ++present) {
            const RateShare share = advertised_limit_share(limit, present);
            REQUIRE(share.instances >= 1);
            REQUIRE(share.instances <= present);
            const double each =
                static_cast<double>(share.calls) / seconds(share.window);
            const double rate = each * static_cast<double>(share.instances);
            CHECK(rate <= std::max(limit, 0.21));
            CHECK(rate >= limit * 0.9);
            // Windows that begin together, plus the calls of half a window that
            // are made up for.
            const double burst = static_cast<double>(share.calls) * 1.5;
            const double most =
                4 * rate + burst * static_cast<double>(share.instances);
            CHECK(most <= 1.5 * limit * 4 + 5);
        }
}

} // namespace crosslink
