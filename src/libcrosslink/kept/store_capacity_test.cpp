// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/managed_store.h"

#include <crosslink/kept/store_capacity.h>

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
open(StoreCapacity& capacity, const char* address)
{
    capacity.update_boot(address, 1, at(0));
    capacity.set_listed(address, at(0));
}

StoreCapacity
capacity_of_stores()
{
    StoreCapacity capacity;
    capacity.set_stores(stores);
    open(capacity, fast);
    open(capacity, big);
    return capacity;
}

/// Returns the store that is selected for a part that no store has.
std::string
selected_store(StoreCapacity& capacity, std::uint32_t tokens,
               bool leading = false, int now = 0)
{
    const auto nowhere = [](const std::string&) { return false; };
    return capacity.select_store(tokens, leading, nowhere, at(now));
}

} // namespace

TEST_CASE("a part takes capacity in multiples of 16 tokens")
{
    CHECK(StoreCapacity::capacity_of(0) == 0);
    CHECK(StoreCapacity::capacity_of(1) == 16);
    CHECK(StoreCapacity::capacity_of(16) == 16);
    CHECK(StoreCapacity::capacity_of(17) == 32);
}

TEST_CASE("only managed stores have capacity")
{
    StoreCapacity capacity;
    std::vector<KeptStoreInfo> given{managed_store(fast, 1600, 100)};
    given[0].managed = false;
    capacity.set_stores(given);
    CHECK_FALSE(capacity.contains(fast));
    open(capacity, fast);
    CHECK_FALSE(capacity.is_reachable(fast));
    CHECK_FALSE(capacity.listed_at(fast));
    CHECK(capacity.boot(fast) == 0);
    CHECK(selected_store(capacity, 16).empty());
}

TEST_CASE("leading parts go to the fastest link, others in proportion to links")
{
    StoreCapacity capacity = capacity_of_stores();
    CHECK(selected_store(capacity, 160, true) == fast);
    CHECK(selected_store(capacity, 160) == fast);
    capacity.add_used(fast, 1040);
    CHECK(selected_store(capacity, 160, true) == fast);
    CHECK(selected_store(capacity, 112) == big);
    capacity.add_used(big, 16);
    CHECK(selected_store(capacity, 112) == fast);
}

TEST_CASE("a fifth of a store with a faster link is for leading parts alone")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.add_used(fast, 1136);
    capacity.add_used(big, 15'520);
    CHECK(selected_store(capacity, 80) == fast);
    CHECK(selected_store(capacity, 112).empty());
    CHECK(selected_store(capacity, 400, true) == fast);
    CHECK(selected_store(capacity, 432, true).empty());
}

TEST_CASE("a slow store is written to where no other one has capacity")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.set_slow({fast});
    CHECK(selected_store(capacity, 160, true) == big);
    capacity.add_used(big, 15'520);
    CHECK(selected_store(capacity, 160, true) == fast);
}

TEST_CASE("no store is given a part that it may have")
{
    StoreCapacity capacity = capacity_of_stores();
    const auto may_have = [](const std::string& other) {
        return other == fast;
    };
    CHECK(capacity.select_store(160, true, may_have, at(0)) == big);
    capacity.add_used(big, 15'520);
    CHECK(capacity.select_store(160, true, may_have, at(0)).empty());
}

TEST_CASE("the stores are full until capacity is freed up")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.add_used(fast, 1600);
    capacity.add_used(big, 16'000);
    CHECK_FALSE(capacity.is_full());
    CHECK(selected_store(capacity, 16).empty());
    CHECK(capacity.is_full());
    capacity.clear_full();
    CHECK_FALSE(capacity.is_full());
    capacity.release(big, 16'000);
    CHECK(selected_store(capacity, 16) == big);
    CHECK_FALSE(capacity.is_full());
}

TEST_CASE("stores that can't be written to are not full")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.add_used(fast, 1600);
    capacity.set_reachable(fast, false);
    capacity.set_reachable(big, false);
    CHECK_FALSE(capacity.is_reachable(big));
    CHECK(selected_store(capacity, 16).empty());
    CHECK_FALSE(capacity.is_full());
    capacity.set_reachable(big, true);
    CHECK(selected_store(capacity, 16) == big);
}

TEST_CASE("no more capacity is released than was used")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.add_used(fast, 32);
    capacity.release(fast, 64);
    capacity.add_used(fast, 1280);
    CHECK(selected_store(capacity, 256, true) == fast);
    CHECK(selected_store(capacity, 288, true) == big);
}

TEST_CASE("a restarted store is empty, and written to later")
{
    StoreCapacity capacity;
    capacity.set_stores(std::vector{managed_store(fast, 1600, 100)});
    CHECK_FALSE(capacity.all_reported());
    CHECK_FALSE(capacity.update_boot(fast, 1, at(500)));
    CHECK(capacity.all_reported());
    capacity.set_listed(fast, at(10));
    CHECK(capacity.listed_at(fast) == at(10));
    CHECK(selected_store(capacity, 16) == fast);
    capacity.add_used(fast, 1600);
    CHECK_FALSE(capacity.update_boot(fast, 1, at(500)));
    CHECK(selected_store(capacity, 16).empty());
    CHECK(capacity.update_boot(fast, 2, at(500)));
    CHECK(capacity.boot(fast) == 2);
    CHECK(selected_store(capacity, 16, false, 499).empty());
    CHECK(selected_store(capacity, 16, false, 500) == fast);
}

TEST_CASE("the state of a store is kept until it is cleared")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.add_used(big, 16'000);
    capacity.set_stores(std::vector{managed_store(big, 16'000, 10)});
    CHECK_FALSE(capacity.contains(fast));
    CHECK(capacity.boot(big) == 1);
    CHECK(selected_store(capacity, 16).empty());
    CHECK(capacity.is_full());
    capacity.clear();
    CHECK_FALSE(capacity.is_full());
    CHECK(capacity.contains(big));
    CHECK(capacity.boot(big) == 0);
    CHECK_FALSE(capacity.is_reachable(big));
    open(capacity, big);
    CHECK(selected_store(capacity, 16) == big);
}

TEST_CASE("the more runners have new weights, the more capacity is kept free")
{
    StoreCapacity capacity = capacity_of_stores();
    capacity.add_used(big, 13'200);
    CHECK_FALSE(capacity.below_reserve(0, 0));
    CHECK_FALSE(capacity.below_reserve(0.5, 0));
    CHECK(capacity.below_reserve(1, 0));
    // What is about to be freed counts as free.
    CHECK(capacity.below_reserve(1, 3504));
    CHECK_FALSE(capacity.below_reserve(1, 3600));
    CHECK_FALSE(StoreCapacity().below_reserve(1, 0));
}

TEST_CASE("a tenth of all capacity is evicted at once")
{
    CHECK(capacity_of_stores().tokens_to_evict() == Approx(1760));
}

} // namespace crosslink
