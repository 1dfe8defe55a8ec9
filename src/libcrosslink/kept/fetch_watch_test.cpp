// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_watch.h>

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

int
fetches_of(const FetchWatch& watch, int millis)
{
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count += watch.should_fetch("slow", i, at(millis)) ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("few calls fetch from a store that is slower than the others")
{
    FetchWatch watch;
    CHECK(fetches_of(watch, 0) == 1000);
    for (int i = 0; i < 20; ++i) {
        watch.first_event("slow", at(i), at(i + 1200));
        watch.first_event("other", at(i), at(i + 100));
    }
    const int count = fetches_of(watch, 1230);
    CHECK(count >= 100);
    CHECK(count < 200);
    CHECK(fetches_of(watch, 10'000) == 1000);
}

TEST_CASE("a call that waits long tells of a slow store before it is answered")
{
    FetchWatch watch;
    watch.first_event("other", at(0), at(100));
    watch.sent("slow", at(100));
    CHECK(fetches_of(watch, 300) == 1000);
    CHECK(fetches_of(watch, 1100) < 200);
    watch.ended("slow", at(100));
    CHECK(fetches_of(watch, 1110) == 1000);
}

TEST_CASE("where all stores are slow, none is passed over")
{
    FetchWatch watch;
    watch.first_event("slow", at(0), at(0 + 1200));
    CHECK(fetches_of(watch, 1210) == 1000);
    watch.first_event("other", at(0), at(0 + 1150));
    CHECK(fetches_of(watch, 1210) == 1000);
}

} // namespace crosslink
