// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_delay_tracker.h>

#include <catch2/catch.hpp>

#include <vector>

namespace crosslink
{

namespace
{

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

constexpr std::uint32_t small_part = 500;
constexpr std::uint32_t large_part = 5000;
constexpr Micros short_objective = std::chrono::milliseconds(240);

/// Returns how many of a thousand calls fetch.
int
fetches_of(const FetchDelayTracker& watch, int millis,
           std::uint32_t tokens = large_part,
           Micros objective = short_objective)
{
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count +=
            watch.should_fetch({"slow", "a"}, tokens, objective, i, at(millis));
    return count;
}

/// Records 20 calls for each store whose first events come `slow` and `other`
/// milliseconds later than expected.
void
let_come_late(FetchDelayTracker& watch, int slow, int other)
{
    for (int i = 0; i < 20; ++i) {
        watch.first_event({"slow", "a"}, at(i), at(i + slow));
        watch.first_event({"other", "a"}, at(i), at(i + other));
    }
}

/// Returns the places of two parts, the first of which is in the slow store,
/// for a call that is not among the few that still fetch from there.
std::vector<KeptPlace>
places_with_slow_first(const FetchDelayTracker& watch,
                       const std::vector<PromptPart>& parts, int millis)
{
    std::vector<KeptPlace> places(2);
    for (KeptPlace& place : places)
        place.kind = KeptPlace::Kind::Fetch;
    places[0].store = "slow";
    places[1].store = "other";
    constexpr std::uint64_t not_among_the_few = 999;
    watch.skip_slow_stores(parts, places, "a", short_objective,
                           not_among_the_few, at(millis));
    return places;
}

} // namespace

TEST_CASE("few calls fetch from a store that is slower than the others")
{
    FetchDelayTracker watch;
    CHECK(fetches_of(watch, 0) == 1000);
    let_come_late(watch, 1200, 100);
    const int count = fetches_of(watch, 1230);
    CHECK(count >= 100);
    CHECK(count < 200);
    CHECK(fetches_of(watch, 10'000) == 1000);
}

TEST_CASE("stores that are much slower than the best one are reported")
{
    FetchDelayTracker watch;
    let_come_late(watch, 1200, 100);
    CHECK(watch.slow_stores(at(1230)).contains("slow"));
    CHECK(watch.slow_stores(at(1230)).size() == 1);
    CHECK(watch.slow_stores(at(9000)).empty());
}

TEST_CASE("a large part is worth a longer wait than a small one")
{
    FetchDelayTracker watch;
    let_come_late(watch, 220, 0);
    CHECK(fetches_of(watch, 250, small_part) < 200);
    CHECK(fetches_of(watch, 250, large_part) == 1000);
}

TEST_CASE("a call with a long objective can bear a longer wait")
{
    FetchDelayTracker watch;
    let_come_late(watch, 420, 0);
    const Micros long_objective = std::chrono::milliseconds(1200);
    CHECK(fetches_of(watch, 440, small_part) < 200);
    CHECK(fetches_of(watch, 440, small_part, long_objective) == 1000);
}

TEST_CASE("delays that are expected of busy runners make no store slow")
{
    FetchDelayTracker watch;
    for (int i = 0; i < 20; ++i) {
        watch.first_event({"slow", "a"}, at(i + 900), at(i + 950));
        watch.first_event({"other", "a"}, at(i + 20), at(i + 60));
    }
    CHECK(fetches_of(watch, 980) == 1000);
}

TEST_CASE("a call that waits long marks a slow store before it is answered")
{
    FetchDelayTracker watch;
    watch.first_event({"other", "a"}, at(0), at(100));
    watch.sent({"slow", "a"}, at(100));
    CHECK(fetches_of(watch, 300) == 1000);
    CHECK(fetches_of(watch, 1100) < 200);
    watch.ended({"slow", "a"}, at(100));
    CHECK(fetches_of(watch, 1110) == 1000);
}

TEST_CASE("a part is computed where a part before it is")
{
    FetchDelayTracker watch;
    let_come_late(watch, 1200, 0);
    const std::vector<PromptPart> parts{{"a", large_part}, {"b", small_part}};
    const auto places = places_with_slow_first(watch, parts, 1230);
    for (const KeptPlace& place : places) {
        CHECK(place.kind == KeptPlace::Kind::None);
        CHECK(place.reason == KeptPlace::Reason::SlowStore);
    }
}

TEST_CASE("a small part may be as late as all parts from it on")
{
    FetchDelayTracker watch;
    let_come_late(watch, 220, 0);
    const std::vector<PromptPart> parts{{"a", small_part}, {"b", large_part}};
    const auto places = places_with_slow_first(watch, parts, 230);
    CHECK(places[0].kind == KeptPlace::Kind::Fetch);
    CHECK(places[1].kind == KeptPlace::Kind::Fetch);
}

TEST_CASE("where all stores are slow, none is passed over")
{
    FetchDelayTracker watch;
    watch.first_event({"slow", "a"}, at(0), at(0 + 1200));
    CHECK(fetches_of(watch, 1210) == 1000);
    watch.first_event({"other", "a"}, at(0), at(0 + 1150));
    CHECK(fetches_of(watch, 1210) == 1000);
}

TEST_CASE("single samples of many instances add up for the whole fleet")
{
    // Each has one late call of the slow store and one call of another store.
    FetchDelayTracker holder;
    for (int i = 0; i < 20; ++i) {
        FetchDelayTracker instance;
        instance.first_event({"slow", "a"}, at(i), at(i + 700));
        instance.first_event({"other", "a"}, at(i), at(i + 5));
        for (const FetchSamples& samples : instance.take_unreported())
            holder.add_remote_samples(samples, at(800));
        CHECK(instance.take_unreported().empty());
    }
    FetchDelayTracker fresh;
    for (const FetchDelay& store : holder.delays(at(900)))
        fresh.set_fleet_delay(store, at(900));
    CHECK(fetches_of(fresh, 950) < 200);
    CHECK(fresh.slow_stores(at(950)).contains("slow"));
    CHECK(fetches_of(fresh, 9000) == 1000);
}

TEST_CASE("samples of several calls weigh as much as the calls one by one")
{
    FetchDelayTracker one_by_one;
    FetchDelayTracker together;
    for (FetchDelayTracker* watch : {&one_by_one, &together}) {
        watch->first_event({"slow", "a"}, at(0), at(0));
        watch->first_event({"other", "a"}, at(0), at(0));
    }
    for (int i = 0; i < 3; ++i)
        one_by_one.first_event({"slow", "a"}, at(0), at(400));
    together.add_remote_samples({{"slow", "a"}, 3, 400}, at(400));
    const auto late = [](const FetchDelayTracker& watch) {
        return watch.delays(at(400)).back().late_ms;
    };
    CHECK(late(together) == Approx(late(one_by_one)));
    CHECK(one_by_one.take_unreported().back().calls == 4);
    CHECK(together.take_unreported().back().late_ms == Approx(300));
}

TEST_CASE("the fleet-wide delay takes precedence over own samples")
{
    FetchDelayTracker watch;
    let_come_late(watch, 1200, 100);
    watch.set_fleet_delay({{"slow", "a"}, 0, Micros{0}}, at(1220));
    watch.set_fleet_delay({{"other", "a"}, 0, Micros{0}}, at(1220));
    CHECK(fetches_of(watch, 1230) == 1000);
}

TEST_CASE("only the best way of a zone and late ones are told")
{
    FetchDelayTracker watch;
    for (const char* store : {"s1", "s2", "s3"})
        watch.first_event({store, "a"}, at(0), at(20));
    watch.first_event({"s4", "a"}, at(0), at(10));
    watch.first_event({"s5", "a"}, at(0), at(400));
    watch.first_event({"s1", "b"}, at(0), at(300));
    const auto told = watch.delays(at(400));
    REQUIRE(told.size() == 3);
    CHECK(told[0].path == FetchPath{"s1", "b"});
    CHECK(told[1].path == FetchPath{"s4", "a"});
    CHECK(told[2].path == FetchPath{"s5", "a"});
}

TEST_CASE("a store that is late for one zone is not for another")
{
    FetchDelayTracker watch;
    let_come_late(watch, 1200, 100);
    watch.first_event({"slow", "b"}, at(0), at(10));
    watch.first_event({"other", "b"}, at(0), at(10));
    CHECK(fetches_of(watch, 1230) < 200);
    CHECK(watch.should_fetch({"slow", "b"}, large_part, short_objective, 999,
                             at(1230)));
}

TEST_CASE("an instance that is cut off uses its own samples")
{
    FetchDelayTracker watch;
    watch.set_fleet_delay({{"slow", "a"}, 0, Micros{0}}, at(0));
    watch.set_fleet_delay({{"other", "a"}, 0, Micros{0}}, at(0));
    let_come_late(watch, 1200, 100);
    CHECK(fetches_of(watch, 1230) < 200);
}

} // namespace crosslink
