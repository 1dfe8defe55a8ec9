// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.
//
// Which facts excuse the end of a runner's entry: an outage of the store that
// was long enough for it to expire, and nothing else.

#include <crosslink/membership/lapse_window.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

using std::chrono::milliseconds;

constexpr Micros heartbeat = milliseconds(1200);

TimePoint
at(int millis)
{
    return TimePoint(milliseconds(millis));
}

} // namespace

// A runner that leaves right after a watch was cut got requests for 2.4 s.
TEST_CASE("a watch that is cut excuses no entry's end")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    window.failed(at(11'750));
    window.answered(at(11'810), at(11'810));
    CHECK_FALSE(window.until(at(11'810)));
}

TEST_CASE("watches that are cut again and again excuse no entry's end")
{
    LapseWindow window(heartbeat);
    for (int millis = 10'000; millis < 30'000; millis += 500) {
        window.answered(at(millis), at(millis));
        window.failed(at(millis + 100));
        CHECK_FALSE(window.until(at(millis + 100)));
    }
}

TEST_CASE("the silence of another instance excuses no entry's end")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    SECTION("the store answers the first request")
    {
        window.answered(at(14'000), at(14'000));
        CHECK_FALSE(window.until(at(14'000)));
    }
    SECTION("the first request fails, and the next one doesn't")
    {
        window.failed(at(13'900));
        window.answered(at(14'000), at(14'000));
        CHECK_FALSE(window.until(at(14'000)));
    }
}

TEST_CASE("entries that are gone after an outage may have expired in it")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    window.failed(at(10'400));
    window.failed(at(12'000));
    window.answered(at(13'000), at(13'000));
    CHECK(window.until(at(13'000)) == at(14'800));
    CHECK(window.remaining(at(14'000)) == milliseconds(800));
    // Later answers neither close the window nor extend it.
    window.answered(at(14'000), at(14'000));
    CHECK(window.until(at(14'000)) == at(14'800));
    CHECK_FALSE(window.until(at(14'800)));
    CHECK(window.remaining(at(15'000)) == Micros{0});
}

// Parents go on telling what they knew before the outage.
TEST_CASE("news from before an outage do not end it")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    for (int millis = 10'400; millis < 13'000; millis += 200) {
        window.failed(at(millis));
        window.answered(at(10'000), at(millis + 10));
        window.answered(at(10'050), at(millis + 20));
        CHECK_FALSE(window.until(at(millis + 20)));
    }
    window.answered(at(13'000), at(13'010));
    CHECK(window.until(at(13'010)) == at(14'810));
}

TEST_CASE("an outage is too short for an entry to expire in it")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    window.failed(at(10'100));
    window.answered(at(12'300), at(12'300));
    CHECK_FALSE(window.until(at(12'300)));
}

TEST_CASE("an instance that asks seldom takes over an outage from another")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    window.answered(at(13'000), at(13'100), milliseconds(1500));
    CHECK(window.until(at(13'100)) == at(14'600));
}

TEST_CASE("an instance that had answers takes over no outage from another")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    window.answered(at(12'000), at(12'000));
    window.answered(at(13'000), at(13'100), milliseconds(1500));
    CHECK_FALSE(window.until(at(13'100)));
}

TEST_CASE("entries that a restored copy lacks may be written again")
{
    LapseWindow window(heartbeat);
    window.answered(at(10'000), at(10'000));
    window.restored(at(10'100));
    CHECK(window.until(at(10'100)) == at(11'900));
}

} // namespace crosslink
