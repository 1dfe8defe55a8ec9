// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/two_stores.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>

namespace crosslink
{

using namespace testing::two_stores;
using testing::managed_store;

TEST_CASE("one call saves a part, and others compute it until it is complete")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = ask(directory, "p", 0);
    REQUIRE(first.places.size() == 1);
    CHECK(first.places[0].kind == KeptPlace::Kind::Save);
    CHECK(ask(directory, "p", 10).places[0].kind == KeptPlace::Kind::None);
    directory.apply_changes(first.places[0].store,
                            stored(first.space, "p", 1100), at(100));
    const KeptAnswer later = ask(directory, "p", 110);
    CHECK(later.places[0].kind == KeptPlace::Kind::Fetch);
    CHECK(later.places[0].store == first.places[0].store);
    CHECK(later.places[0].until > later.clock);
}

TEST_CASE("a save that never ran is assigned to another call")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = ask(directory, "p", 0);
    directory.not_saved({first.space, "p", 160});
    CHECK(ask(directory, "p", 10).places[0].kind == KeptPlace::Kind::Save);
}

TEST_CASE(
    "a new holder saves under another space and reports the parts it found")
{
    KeptDirectory directory = directory_with_stores(7);
    const KeptAnswer old = ask(directory, "p", 0);
    KeptListing listing = empty_listing(1, 2000);
    listing.whole.push_back({old.space, "p", 160});
    directory.begin(9, at(1000));
    directory.apply_listing(fast, listing, at(1000));
    directory.apply_listing(big, empty_listing(1, 2000), at(1000));
    const KeptAnswer kept = ask(directory, "p", 1100);
    CHECK(kept.space == old.space);
    CHECK(kept.places[0].kind == KeptPlace::Kind::Fetch);
    const KeptAnswer fresh = ask(directory, "q", 1100);
    CHECK(fresh.space != old.space);
    CHECK(fresh.places[0].kind == KeptPlace::Kind::Save);
}

TEST_CASE("parts of other weights and of isolated accounts are never shared")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = save_part(directory, "p");
    CHECK(ask(directory, "p", 110, space(2)).places[0].kind !=
          KeptPlace::Kind::Fetch);
    CHECK(ask(directory, "p", 110, space(1, "alone")).places[0].kind !=
          KeptPlace::Kind::Fetch);
}

TEST_CASE("a part is freed only after all answers have expired")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = save_part(directory, "p");
    const KeptAnswer answer = ask(directory, "p", 200);
    REQUIRE(answer.places[0].kind == KeptPlace::Kind::Fetch);
    const auto all = [](const KeptSpace&) { return true; };
    CHECK(directory.take_due_frees(all, 1, at(200)).empty());
    CHECK(ask(directory, "p", 210).places[0].kind == KeptPlace::Kind::None);
    const std::int64_t holds = 200 + kept_answer_time.count();
    CHECK(directory.take_due_frees(never, 1, at(holds)).empty());
    const auto frees = directory.take_due_frees(never, 1, at(holds + 1000));
    REQUIRE(frees.size() == 1);
    CHECK(frees[0].parts.size() == 1);
    CHECK(frees[0].boot == 1);
}

TEST_CASE("a restarted store is not written to while answers are valid")
{
    KeptDirectory directory = directory_with_stores();
    directory.apply_listing(fast, empty_listing(2, 1500), at(500));
    directory.apply_listing(big, empty_listing(2, 1500), at(500));
    CHECK(ask(directory, "p", 600).places[0].kind == KeptPlace::Kind::None);
    const std::int64_t later = 500 + kept_answer_time.count() + 600;
    CHECK(ask(directory, "p", later).places[0].kind == KeptPlace::Kind::Save);
}

TEST_CASE("an interrupted save is freed, and its part is saved again later")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = ask(directory, "p", 0);
    const std::string where = first.places[0].store;
    CHECK_FALSE(directory.wants_listing(where, at(3500)));
    CHECK(directory.wants_listing(where, at(5000)));
    KeptListing listing = empty_listing(1, 6000);
    listing.broken.push_back({first.space, "p", 160});
    directory.apply_listing(where, listing, at(5000));
    CHECK(ask(directory, "p", 5010).places[0].kind == KeptPlace::Kind::None);
    const auto frees = directory.take_due_frees(never, 1, at(9000));
    REQUIRE(frees.size() == 1);
    directory.apply_listing(where, empty_listing(1, 10'100), at(9100));
    CHECK(ask(directory, "p", 9200).places[0].kind == KeptPlace::Kind::Save);
}

TEST_CASE("a copy says what the directory says, for as long as it holds")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = save_part(directory, "p");
    KeptReplica replica;
    replica.take(directory.update_since(0, 0, at(200)), at(200));
    const std::vector<PromptPart> parts{{"p", 160}};
    const auto found = replica.find(space(), parts, false, at(210));
    REQUIRE(found);
    CHECK(found->places[0].kind == KeptPlace::Kind::Fetch);
    CHECK(found->space == first.space);
    CHECK_FALSE(replica.find(space(2), parts, true, at(210)));
    CHECK_FALSE(
        replica.find(space(), parts, true, at(200 + kept_answer_time.count())));
    directory.take_due_frees([](const KeptSpace&) { return true; }, 1, at(300));
    const auto [term, place] = replica.position();
    replica.take(directory.update_since(term, place, at(310)), at(310));
    CHECK_FALSE(replica.find(space(), parts, false, at(320)));
}

TEST_CASE("a copy forgets the parts of a store that is taken away")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = save_part(directory, "p");
    KeptReplica replica;
    replica.take(directory.update_since(0, 0, at(200)), at(200));
    directory.set_stores({});
    const auto [term, place] = replica.position();
    replica.take(directory.update_since(term, place, at(2000)), at(2000));
    const std::vector<PromptPart> parts{{"p", 160}};
    CHECK_FALSE(replica.find(space(), parts, true, at(2010)));
}

TEST_CASE("a new holder frees parts early where earlier holders have stopped")
{
    const auto all = [](const KeptSpace&) { return true; };
    KeptDirectory directory;
    const std::vector<KeptStoreInfo> stores{managed_store(fast, 1600, 100)};
    directory.set_stores(stores);
    directory.begin(9, at(0));
    KeptListing listing = empty_listing(1, 1000);
    KeptSpace earlier = space();
    earlier.term = 7;
    listing.whole.push_back({earlier.text(), "p", 160});
    directory.apply_listing(fast, listing, at(10));
    CHECK(directory.take_due_frees(all, 1, at(100)).empty());
    SECTION("the grace time of the earlier holder has passed")
    {
        CHECK(directory.take_due_frees(all, 1, at(11'400)).empty());
        CHECK(directory.take_due_frees(all, 1, at(11'600)).size() == 1);
    }
    SECTION("the earlier holder has stopped answering")
    {
        directory.earlier_holders_stopped(at(2000));
        CHECK(directory.take_due_frees(all, 1, at(5400)).empty());
        CHECK(directory.take_due_frees(all, 1, at(5600)).size() == 1);
    }
}

TEST_CASE("a leading part finds capacity in the fastest store")
{
    KeptDirectory directory = directory_with_stores();
    // The store has 1600 tokens of capacity, of which a fifth is reserved for
    // leading parts.
    for (int i = 0; i < 30; ++i)
        ask(directory, "last" + std::to_string(i), 0);
    const std::vector<PromptPart> parts{{"first", 160}, {"second", 160}};
    const KeptAnswer answer = directory.ask(space(), parts, call_time, at(0));
    CHECK(answer.places[0].store == fast);
    CHECK(answer.places[1].store == big);
}

TEST_CASE("a save that takes too long is repeated in another store, then freed")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = ask(directory, "p", 0);
    CHECK(ask(directory, "p", 1400).places[0].reason ==
          KeptPlace::Reason::BeingSaved);
    const KeptAnswer again = ask(directory, "p", 1600);
    CHECK(again.places[0].kind == KeptPlace::Kind::Save);
    CHECK(again.places[0].store != first.places[0].store);
    // It is not known which of the two calls did not run.
    directory.not_saved({first.space, "p", 160});
    CHECK(ask(directory, "p", 1700).places[0].reason ==
          KeptPlace::Reason::BeingSaved);
    // The first save ends late: its copy is not reported, and is freed.
    directory.apply_changes(first.places[0].store,
                            stored(first.space, "p", 2800), at(1800));
    directory.apply_changes(again.places[0].store,
                            stored(first.space, "p", 2900), at(1900));
    CHECK(ask(directory, "p", 2000).places[0].store == again.places[0].store);
    CHECK(directory.take_due_frees(never, 1, at(4000)).empty());
    const auto frees = directory.take_due_frees(never, 1, at(6000));
    REQUIRE(frees.size() == 1);
    CHECK(frees[0].store == first.places[0].store);
    CHECK(directory.take_due_frees(never, 1, at(12'000)).empty());
}

TEST_CASE("a part that is in two stores takes capacity in both")
{
    KeptDirectory directory;
    const std::vector<KeptStoreInfo> stores{managed_store(fast, 1600, 100),
                                            managed_store(big, 1600, 100)};
    directory.set_stores(stores);
    directory.begin(9, at(0));
    KeptListing listing = empty_listing(1, 1000);
    KeptSpace earlier = space();
    earlier.term = 7;
    for (int i = 0; i < 9; ++i)
        listing.whole.push_back({earlier.text(), std::to_string(i), 160});
    directory.apply_listing(fast, listing, at(10));
    directory.apply_listing(big, listing, at(10));
    // Each of them has capacity for nine parts of 160 tokens, and has nine.
    CHECK(ask(directory, "new", 20).places[0].reason ==
          KeptPlace::Reason::NoRoom);
    // The second copies are freed; then there is capacity for as many parts.
    directory.earlier_holders_stopped(at(20));
    CHECK(directory.take_due_frees(never, 1, at(4000)).size() == 1);
    int saved = 0;
    for (int i = 0; i < 12; ++i)
        saved += ask(directory, "n" + std::to_string(i), 4100).places[0].kind ==
                         KeptPlace::Kind::Save
                     ? 1
                     : 0;
    CHECK(saved == 9);
}

TEST_CASE("a part whose store is unreachable is saved to another one")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = save_part(directory, "p");
    directory.unreachable(first.places[0].store);
    const KeptAnswer again = ask(directory, "p", 500);
    CHECK(again.places[0].kind == KeptPlace::Kind::Save);
    CHECK(again.places[0].store != first.places[0].store);
}

TEST_CASE("a slow store is written to only where no other has capacity")
{
    KeptDirectory directory = directory_with_stores();
    directory.set_slow({big});
    for (int i = 0; i < 7; ++i)
        CHECK(ask(directory, std::to_string(i), 0).places[0].store == fast);
    CHECK(ask(directory, "more", 0).places[0].store == big);
}

TEST_CASE("stores that are not listed yet are not full")
{
    KeptDirectory directory = directory_with_stores();
    const KeptAnswer first = save_part(directory, "p");
    directory.unreachable(fast);
    directory.unreachable(big);
    const KeptPlace place = ask(directory, "q", 30'000).places[0];
    CHECK(place.reason == KeptPlace::Reason::StoreUnreachable);
    directory.apply_listing(fast, empty_listing(1, 31'000), at(30'001));
    directory.apply_listing(big, empty_listing(1, 31'000), at(30'001));
    CHECK(ask(directory, "q", 30'100).places[0].kind == KeptPlace::Kind::Save);
}

TEST_CASE("parts that must stay in zones are saved in these zones only")
{
    KeptDirectory directory;
    std::vector<KeptStoreInfo> stores{managed_store(fast, 16'000, 100),
                                      managed_store(big, 16'000, 10)};
    stores[0].zone = "zone-a";
    stores[1].zone = "zone-b";
    directory.set_stores(stores);
    directory.begin(7, at(0));
    for (const char* store : {fast, big})
        directory.apply_listing(store, empty_listing(1, 1000), at(0));
    KeptSpace bound = space();
    bound.zones = {"zone-b"};

    // The same part of a prompt that may go anywhere is not theirs.
    save_part(directory, "p");
    const KeptAnswer first = ask(directory, "p", 200, bound);
    REQUIRE(first.places[0].kind == KeptPlace::Kind::Save);
    CHECK(first.places[0].store == big);
    directory.apply_changes(big, stored(first.space, "p", 1300), at(300));
    const KeptAnswer fetch = ask(directory, "p", 400, bound);
    CHECK(fetch.places[0].kind == KeptPlace::Kind::Fetch);
    CHECK(fetch.places[0].store == big);
    CHECK(ask(directory, "p", 500).places[0].store == fast);

    // Not where the one store of the zone is away, nor where there is none.
    directory.unreachable(big);
    CHECK(ask(directory, "q", 600, bound).places[0].kind ==
          KeptPlace::Kind::None);
    bound.zones = {"zone-c"};
    CHECK(ask(directory, "q", 700, bound).places[0].kind ==
          KeptPlace::Kind::None);
}

TEST_CASE("a kept space is parsed from its own text")
{
    const KeptSpace one{"account|with|bars", "model", 3, 12};
    CHECK(KeptSpace::parse(one.text()) == one);
    const KeptSpace bound{"account@x|y", "model", 3, 12, {"zone-a", "zone-b"}};
    CHECK(KeptSpace::parse(bound.text()) == bound);
    CHECK_FALSE(KeptSpace::parse("m|1|@zone-a|"));
    CHECK_FALSE(KeptSpace::parse(""));
    CHECK_FALSE(KeptSpace::parse("m|x|1|"));
    CHECK_FALSE(KeptSpace::parse("m|1|"));
}

} // namespace crosslink
