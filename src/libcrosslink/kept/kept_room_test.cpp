// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/managed_store.h"

#include <crosslink/kept/kept_room.h>

#include <catch2/catch.hpp>

#include <vector>

namespace crosslink
{

namespace
{

using testing::managed_store;

constexpr const char* fast = "127.0.0.1:1";
constexpr const char* big = "127.0.0.1:2";

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

const std::vector<KeptStoreInfo> stores{managed_store(fast, 1600, 100),
                                        managed_store(big, 16'000, 10)};

void
open(KeptRoom& room, const char* address)
{
    room.take_boot(address, 1, at(0));
    room.listed(address, at(0));
}

KeptRoom
room_with_stores()
{
    KeptRoom room;
    room.set_stores(stores);
    open(room, fast);
    open(room, big);
    return room;
}

/// Returns the store that is selected for a part that no store has.
std::string
place(KeptRoom& room, std::uint32_t tokens, bool forerunner = false,
      int now = 0)
{
    const auto nowhere = [](const std::string&) { return false; };
    return room.place_for(tokens, forerunner, nowhere, at(now));
}

} // namespace

TEST_CASE("a part takes capacity in multiples of 16 tokens")
{
    CHECK(KeptRoom::room_of(0) == 0);
    CHECK(KeptRoom::room_of(1) == 16);
    CHECK(KeptRoom::room_of(16) == 16);
    CHECK(KeptRoom::room_of(17) == 32);
}

TEST_CASE("only managed stores have capacity")
{
    KeptRoom room;
    std::vector<KeptStoreInfo> given{managed_store(fast, 1600, 100)};
    given[0].managed = false;
    room.set_stores(given);
    CHECK_FALSE(room.contains(fast));
    open(room, fast);
    CHECK_FALSE(room.is_reachable(fast));
    CHECK_FALSE(room.listed_at(fast));
    CHECK(room.boot(fast) == 0);
    CHECK(place(room, 16).empty());
}

TEST_CASE("leading parts go to the fastest link, others in proportion to links")
{
    KeptRoom room = room_with_stores();
    CHECK(place(room, 160, true) == fast);
    CHECK(place(room, 160) == fast);
    room.take(fast, 1040);
    CHECK(place(room, 160, true) == fast);
    CHECK(place(room, 112) == big);
    room.take(big, 16);
    CHECK(place(room, 112) == fast);
}

TEST_CASE("a fifth of a store with a faster link is for leading parts alone")
{
    KeptRoom room = room_with_stores();
    room.take(fast, 1136);
    room.take(big, 15'520);
    CHECK(place(room, 80) == fast);
    CHECK(place(room, 112).empty());
    CHECK(place(room, 400, true) == fast);
    CHECK(place(room, 432, true).empty());
}

TEST_CASE("a slow store is written to where no other one has capacity")
{
    KeptRoom room = room_with_stores();
    room.set_slow({fast});
    CHECK(place(room, 160, true) == big);
    room.take(big, 15'520);
    CHECK(place(room, 160, true) == fast);
}

TEST_CASE("no store is given a part that it may have")
{
    KeptRoom room = room_with_stores();
    const auto may_have = [](const std::string& other) {
        return other == fast;
    };
    CHECK(room.place_for(160, true, may_have, at(0)) == big);
    room.take(big, 15'520);
    CHECK(room.place_for(160, true, may_have, at(0)).empty());
}

TEST_CASE("the stores are full until capacity is freed up")
{
    KeptRoom room = room_with_stores();
    room.take(fast, 1600);
    room.take(big, 16'000);
    CHECK_FALSE(room.is_full());
    CHECK(place(room, 16).empty());
    CHECK(room.is_full());
    room.made();
    CHECK_FALSE(room.is_full());
    room.give_back(big, 16'000);
    CHECK(place(room, 16) == big);
    CHECK_FALSE(room.is_full());
}

TEST_CASE("stores that can't be written to are not full")
{
    KeptRoom room = room_with_stores();
    room.take(fast, 1600);
    room.set_reachable(fast, false);
    room.set_reachable(big, false);
    CHECK_FALSE(room.is_reachable(big));
    CHECK(place(room, 16).empty());
    CHECK_FALSE(room.is_full());
    room.set_reachable(big, true);
    CHECK(place(room, 16) == big);
}

TEST_CASE("no more capacity is released than was used")
{
    KeptRoom room = room_with_stores();
    room.take(fast, 32);
    room.give_back(fast, 64);
    room.take(fast, 1280);
    CHECK(place(room, 256, true) == fast);
    CHECK(place(room, 288, true) == big);
}

TEST_CASE("a restarted store is empty, and written to later")
{
    KeptRoom room;
    room.set_stores(std::vector{managed_store(fast, 1600, 100)});
    CHECK_FALSE(room.all_told());
    CHECK_FALSE(room.take_boot(fast, 1, at(500)));
    CHECK(room.all_told());
    room.listed(fast, at(10));
    CHECK(room.listed_at(fast) == at(10));
    CHECK(place(room, 16) == fast);
    room.take(fast, 1600);
    CHECK_FALSE(room.take_boot(fast, 1, at(500)));
    CHECK(place(room, 16).empty());
    CHECK(room.take_boot(fast, 2, at(500)));
    CHECK(room.boot(fast) == 2);
    CHECK(place(room, 16, false, 499).empty());
    CHECK(place(room, 16, false, 500) == fast);
}

TEST_CASE("the state of a store is kept until it is cleared")
{
    KeptRoom room = room_with_stores();
    room.take(big, 16'000);
    room.set_stores(std::vector{managed_store(big, 16'000, 10)});
    CHECK_FALSE(room.contains(fast));
    CHECK(room.boot(big) == 1);
    CHECK(place(room, 16).empty());
    CHECK(room.is_full());
    room.clear();
    CHECK_FALSE(room.is_full());
    CHECK(room.contains(big));
    CHECK(room.boot(big) == 0);
    CHECK_FALSE(room.is_reachable(big));
    open(room, big);
    CHECK(place(room, 16) == big);
}

TEST_CASE("the more runners have new weights, the more capacity is kept free")
{
    KeptRoom room = room_with_stores();
    room.take(big, 13'200);
    CHECK_FALSE(room.is_low(0, 0));
    CHECK_FALSE(room.is_low(0.5, 0));
    CHECK(room.is_low(1, 0));
    // What is about to be freed counts as free.
    CHECK(room.is_low(1, 3504));
    CHECK_FALSE(room.is_low(1, 3600));
    CHECK_FALSE(KeptRoom().is_low(1, 0));
}

TEST_CASE("a tenth of all capacity is evicted at once")
{
    CHECK(room_with_stores().tokens_to_let_go() == Approx(1760));
}

} // namespace crosslink
