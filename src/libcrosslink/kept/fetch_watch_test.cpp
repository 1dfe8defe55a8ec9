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
        watch.first_event("slow", std::chrono::milliseconds(1200), at(i));
        watch.first_event("other", std::chrono::milliseconds(100), at(i));
    }
    const int count = fetches_of(watch, 30);
    CHECK(count >= 100);
    CHECK(count < 200);
    CHECK(fetches_of(watch, 10'000) == 1000);
}

TEST_CASE("where all stores are slow, none is passed over")
{
    FetchWatch watch;
    watch.first_event("slow", std::chrono::milliseconds(1200), at(0));
    CHECK(fetches_of(watch, 10) == 1000);
    watch.first_event("other", std::chrono::milliseconds(1150), at(0));
    CHECK(fetches_of(watch, 10) == 1000);
}

} // namespace crosslink
