// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/room_estimate.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr std::uint32_t bearable = 3;
constexpr TimePoint held_until = start + RoomEstimate::min_hold;

RoomEstimate
after_refusal(std::uint32_t own_calls)
{
    constexpr std::uint64_t no_jitter = 0;
    RoomEstimate room;
    room.refused(own_calls, start, no_jitter);
    return room;
}

} // namespace

TEST_CASE("a runner that refused nothing has room for all calls")
{
    CHECK(RoomEstimate().free_at(9, start) == TimePoint{});
}

TEST_CASE("an instance that a brittle runner refused waits for over a second")
{
    const RoomEstimate room = after_refusal(1);
    CHECK(held_until > start + std::chrono::seconds(1));
    CHECK(room.free_at(0, start) == held_until);
    CHECK(room.free_at(0, held_until) == TimePoint{});
    CHECK(room.free_at(1, held_until) > held_until);
}

TEST_CASE("one more call at a time is sent while a brittle runner refuses none")
{
    const RoomEstimate room = after_refusal(1);
    const TimePoint grown = held_until + RoomEstimate::growth_time;
    CHECK(room.free_at(1, grown) == TimePoint{});
    CHECK(room.free_at(2, grown) > grown);
}

// Calls of others were at the runner: an estimate by the own ones alone would
// leave most of the runner's room unused.
TEST_CASE("a sole sender's room is not known before it was refused alone")
{
    RoomEstimate room = after_refusal(1);
    CHECK(room.free_at_sole_sender(0, start) == held_until);
    CHECK(room.free_at_sole_sender(5, held_until) == TimePoint{});
    room.refused_to_sole_sender(2, bearable, held_until);
    const TimePoint again = held_until + RoomEstimate::sole_sender_hold;
    CHECK(room.free_at_sole_sender(1, held_until) == again);
    CHECK(room.free_at_sole_sender(1, again) == TimePoint{});
    CHECK(room.free_at_sole_sender(2, again) > again);
}

// The first refusals come while calls of others are at the runner, and show too
// little room.
TEST_CASE("a sole sender tries one more call soon, and then ever less often")
{
    RoomEstimate room;
    TimePoint refused = start;
    Micros last{0};
    for (int i = 0; i < 4; ++i) {
        room.refused_to_sole_sender(1, bearable, refused);
        Micros tried = RoomEstimate::sole_sender_hold;
        while (room.free_at_sole_sender(1, refused + tried) != TimePoint{})
            tried += std::chrono::milliseconds(10);
        CHECK(tried > last);
        CHECK(tried >= std::chrono::seconds(1) / bearable);
        last = tried;
        refused += tried;
        if (i == 0)
            CHECK(tried <= std::chrono::seconds(1));
    }
    CHECK(last == RoomEstimate::growth_time + RoomEstimate::sole_sender_hold);
}

TEST_CASE("one call is tried again where a brittle runner had room for none")
{
    CHECK(after_refusal(0).free_at(0, held_until) == TimePoint{});
}

} // namespace crosslink
