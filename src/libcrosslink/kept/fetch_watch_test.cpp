// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_watch.h>

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
fetches_of(const FetchWatch& watch, int millis,
           std::uint32_t tokens = large_part,
           Micros objective = short_objective)
{
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count += watch.should_fetch("slow", tokens, objective, i, at(millis));
    return count;
}

/// Lets 20 calls that fetch from each store come `slow` and `other`
/// milliseconds later than expected.
void
let_come_late(FetchWatch& watch, int slow, int other)
{
    for (int i = 0; i < 20; ++i) {
        watch.first_event("slow", at(i), at(i + slow));
        watch.first_event("other", at(i), at(i + other));
    }
}

/// Returns what two parts come to, of which the first one lies in the slow
/// store, for a call that is not among the few that fetch from there.
std::vector<KeptPlace>
places_with_slow_first(const FetchWatch& watch,
                       const std::vector<PromptPart>& parts, int millis)
{
    std::vector<KeptPlace> places(2);
    for (KeptPlace& place : places)
        place.kind = KeptPlace::Kind::Fetch;
    places[0].store = "slow";
    places[1].store = "other";
    constexpr std::uint64_t not_among_the_few = 999;
    watch.pass_over_slow(parts, places, short_objective, not_among_the_few,
                         at(millis));
    return places;
}

} // namespace

TEST_CASE("few calls fetch from a store that is slower than the others")
{
    FetchWatch watch;
    CHECK(fetches_of(watch, 0) == 1000);
    let_come_late(watch, 1200, 100);
    const int count = fetches_of(watch, 1230);
    CHECK(count >= 100);
    CHECK(count < 200);
    CHECK(fetches_of(watch, 10'000) == 1000);
}

TEST_CASE("the stores that are much slower than the best one are told")
{
    FetchWatch watch;
    let_come_late(watch, 1200, 100);
    CHECK(watch.slow_stores(at(1230)).contains("slow"));
    CHECK(watch.slow_stores(at(1230)).size() == 1);
    CHECK(watch.slow_stores(at(9000)).empty());
}

TEST_CASE("a large part is worth a longer wait than a small one")
{
    FetchWatch watch;
    let_come_late(watch, 220, 0);
    CHECK(fetches_of(watch, 250, small_part) < 200);
    CHECK(fetches_of(watch, 250, large_part) == 1000);
}

TEST_CASE("a call with a long objective can bear a longer wait")
{
    FetchWatch watch;
    let_come_late(watch, 420, 0);
    const Micros long_objective = std::chrono::milliseconds(1200);
    CHECK(fetches_of(watch, 440, small_part) < 200);
    CHECK(fetches_of(watch, 440, small_part, long_objective) == 1000);
}

TEST_CASE("calls of busy runners, expected late, tell of no slow store")
{
    FetchWatch watch;
    for (int i = 0; i < 20; ++i) {
        watch.first_event("slow", at(i + 900), at(i + 950));
        watch.first_event("other", at(i + 20), at(i + 60));
    }
    CHECK(fetches_of(watch, 980) == 1000);
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

TEST_CASE("a part whose forerunner is read is read too")
{
    FetchWatch watch;
    let_come_late(watch, 1200, 0);
    const std::vector<PromptPart> parts{{"a", large_part}, {"b", small_part}};
    const auto places = places_with_slow_first(watch, parts, 1230);
    for (const KeptPlace& place : places) {
        CHECK(place.kind == KeptPlace::Kind::None);
        CHECK(place.reason == KeptPlace::Reason::SlowStore);
    }
}

TEST_CASE("a small part is worth the wait of the parts behind it")
{
    FetchWatch watch;
    let_come_late(watch, 220, 0);
    const std::vector<PromptPart> parts{{"a", small_part}, {"b", large_part}};
    const auto places = places_with_slow_first(watch, parts, 230);
    CHECK(places[0].kind == KeptPlace::Kind::Fetch);
    CHECK(places[1].kind == KeptPlace::Kind::Fetch);
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
