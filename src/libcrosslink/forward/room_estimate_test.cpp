// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/room_estimate.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};
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

TEST_CASE("one call is tried again where a brittle runner had room for none")
{
    CHECK(after_refusal(0).free_at(0, held_until) == TimePoint{});
}

} // namespace crosslink
