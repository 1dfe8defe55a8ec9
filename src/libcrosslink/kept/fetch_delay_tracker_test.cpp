// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_delay_tracker.h>

#include <catch2/catch.hpp>

#include <limits>
#include <random>
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
const FetchGain small_gain{small_part, {}, std::chrono::milliseconds(400)};
/// A large part, the prefill of which takes 100 ms.
const FetchGain prefill_gain{large_part, std::chrono::milliseconds(100),
                             std::chrono::milliseconds(600)};

/// Returns how many of a thousand calls fetch.
int
fetches_of(const FetchDelayTracker& tracker, int millis,
           std::uint32_t tokens = large_part,
           Micros objective = short_objective)
{
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count += tracker.should_fetch({"slow", "a"}, {tokens, {}, objective}, i,
                                      at(millis));
    return count;
}

/// Records 20 calls for each store whose first events come `slow` and `other`
/// milliseconds later than expected.
void
record_delays(FetchDelayTracker& tracker, int slow, int other)
{
    for (int i = 0; i < 20; ++i) {
        tracker.first_event({"slow", "a"}, at(i), at(i + slow));
        tracker.first_event({"other", "a"}, at(i), at(i + other));
    }
}

/// Returns how many of a thousand calls fetch by `path` rather than prefill.
int
fetches_rather_than_prefill(const FetchDelayTracker& tracker,
                            const FetchPath& path, int millis)
{
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count += tracker.should_fetch(path, prefill_gain, i, at(millis));
    return count;
}

/// Records that all of 20 stores are late by `fetch` milliseconds, and calls
/// that prefill by `prefill`.
void
record_busy_links(FetchDelayTracker& tracker, int fetch, int prefill)
{
    for (int i = 0; i < 20; ++i)
        tracker.first_event({"s" + std::to_string(i), "a"}, at(0), at(fetch));
    tracker.first_event(FetchPath::without_store("a"), at(0), at(prefill));
}

/// Returns the places of two parts, the first of which is in the slow store,
/// for a call that is not among the few that still fetch from there.
std::vector<KeptPlace>
places_with_slow_first(const FetchDelayTracker& tracker,
                       const std::vector<PromptPart>& parts, int millis)
{
    std::vector<KeptPlace> places(2);
    for (KeptPlace& place : places)
        place.kind = KeptPlace::Kind::Fetch;
    places[0].store = "slow";
    places[1].store = "other";
    constexpr std::uint64_t not_among_the_few = 999;
    FetchGain gain;
    for (const PromptPart& part : parts)
        gain.tokens += part.tokens;
    gain.objective = short_objective;
    tracker.skip_slow_stores(parts, places, "a", gain, not_among_the_few,
                             at(millis));
    return places;
}

} // namespace

TEST_CASE("few calls fetch from a store that is slower than the others")
{
    FetchDelayTracker tracker;
    CHECK(fetches_of(tracker, 0) == 1000);
    record_delays(tracker, 1200, 100);
    const int count = fetches_of(tracker, 1230);
    CHECK(count >= 100);
    CHECK(count < 200);
    CHECK(fetches_of(tracker, 10'000) == 1000);
}

TEST_CASE("stores that are much slower than the best one are reported")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 1200, 100);
    CHECK(tracker.slow_stores(at(1230)).contains("slow"));
    CHECK(tracker.slow_stores(at(1230)).size() == 1);
    CHECK(tracker.slow_stores(at(9000)).empty());
}

TEST_CASE("a large part is worth a longer wait than a small one")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 220, 0);
    CHECK(fetches_of(tracker, 250, small_part) < 200);
    CHECK(fetches_of(tracker, 250, large_part) == 1000);
}

TEST_CASE("a call with a long objective can bear a longer wait")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 420, 0);
    const Micros long_objective = std::chrono::milliseconds(1200);
    CHECK(fetches_of(tracker, 440, small_part) < 200);
    CHECK(fetches_of(tracker, 440, small_part, long_objective) == 1000);
}

TEST_CASE("delays that are expected of busy runners make no store slow")
{
    FetchDelayTracker tracker;
    for (int i = 0; i < 20; ++i) {
        tracker.first_event({"slow", "a"}, at(i + 900), at(i + 950));
        tracker.first_event({"other", "a"}, at(i + 20), at(i + 60));
    }
    CHECK(fetches_of(tracker, 980) == 1000);
}

TEST_CASE("a call that waits long marks a slow store before it is answered")
{
    FetchDelayTracker tracker;
    tracker.first_event({"other", "a"}, at(0), at(100));
    tracker.sent({"slow", "a"}, at(100));
    CHECK(fetches_of(tracker, 300) == 1000);
    CHECK(fetches_of(tracker, 1100) < 200);
    tracker.ended({"slow", "a"}, at(100));
    CHECK(fetches_of(tracker, 1110) == 1000);
}

TEST_CASE("a part is computed where a part before it is")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 1200, 0);
    const std::vector<PromptPart> parts{{"a", large_part}, {"b", small_part}};
    const auto places = places_with_slow_first(tracker, parts, 1230);
    for (const KeptPlace& place : places) {
        CHECK(place.kind == KeptPlace::Kind::None);
        CHECK(place.reason == KeptPlace::Reason::SlowStore);
    }
}

TEST_CASE("a small part may be as late as all parts from it on")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 220, 0);
    const std::vector<PromptPart> parts{{"a", small_part}, {"b", large_part}};
    const auto places = places_with_slow_first(tracker, parts, 230);
    CHECK(places[0].kind == KeptPlace::Kind::Fetch);
    CHECK(places[1].kind == KeptPlace::Kind::Fetch);
}

TEST_CASE("where all stores are slow, none is passed over")
{
    FetchDelayTracker tracker;
    tracker.first_event({"slow", "a"}, at(0), at(0 + 1200));
    CHECK(fetches_of(tracker, 1210) == 1000);
    tracker.first_event({"other", "a"}, at(0), at(0 + 1150));
    CHECK(fetches_of(tracker, 1210) == 1000);
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
    for (FetchDelayTracker* tracker : {&one_by_one, &together}) {
        tracker->first_event({"slow", "a"}, at(0), at(0));
        tracker->first_event({"other", "a"}, at(0), at(0));
    }
    for (int i = 0; i < 3; ++i)
        one_by_one.first_event({"slow", "a"}, at(0), at(400));
    together.add_remote_samples({{"slow", "a"}, 3, 400}, at(400));
    const auto late = [](const FetchDelayTracker& tracker) {
        return tracker.delays(at(400)).back().late_ms;
    };
    CHECK(late(together) == Approx(late(one_by_one)));
    CHECK(one_by_one.take_unreported().back().calls == 4);
    CHECK(together.take_unreported().back().late_ms == Approx(300));
}

TEST_CASE("the fleet-wide delay takes precedence over own samples")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 1200, 100);
    tracker.set_fleet_delay({{"slow", "a"}, 0, Micros{0}}, at(1220));
    tracker.set_fleet_delay({{"other", "a"}, 0, Micros{0}}, at(1220));
    CHECK(fetches_of(tracker, 1230) == 1000);
}

TEST_CASE("of many stores whose delays differ by chance, few seem slow")
{
    // As under load: the runners' queues differ by hundreds of milliseconds.
    FetchDelayTracker holder;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> delay(1.0 / 200);
    constexpr int stores = 27;
    for (int i = 0; i < 20 * stores; ++i)
        holder.first_event(
            {"s" + std::to_string(i % stores), "a"}, at(0),
            at(0) + std::chrono::milliseconds(static_cast<int>(delay(random))));
    FetchDelayTracker instance;
    for (const FetchDelay& path : holder.delays(at(100)))
        instance.set_fleet_delay(path, at(100));
    int passed_over = 0;
    for (int i = 0; i < stores; ++i) {
        const FetchPath path{"s" + std::to_string(i), "a"};
        instance.first_event(path, at(0), at(500));
        passed_over +=
            !instance.should_fetch(path, small_gain, 999, at(510)) ? 1 : 0;
    }
    CHECK(passed_over <= stores / 9);
}

TEST_CASE("a slow store among many is found")
{
    FetchDelayTracker holder;
    for (int i = 0; i < 27; ++i)
        holder.first_event({"s" + std::to_string(i), "a"}, at(0),
                           at(i < 13 ? 900 : 20 + i));
    FetchDelayTracker instance;
    for (const FetchDelay& path : holder.delays(at(900)))
        instance.set_fleet_delay(path, at(900));
    for (int i = 0; i < 13; ++i)
        CHECK_FALSE(instance.should_fetch({"s" + std::to_string(i), "a"},
                                          small_gain, 999, at(910)));
}

TEST_CASE("only the best way of a zone and late ones are told")
{
    FetchDelayTracker tracker;
    for (const char* store : {"s1", "s2", "s3"})
        tracker.first_event({store, "a"}, at(0), at(20));
    tracker.first_event({"s4", "a"}, at(0), at(10));
    tracker.first_event({"s5", "a"}, at(0), at(400));
    tracker.first_event({"s1", "b"}, at(0), at(300));
    const auto reported = tracker.delays(at(400));
    REQUIRE(reported.size() == 3);
    CHECK(reported[0].path == FetchPath{"s1", "b"});
    CHECK(reported[1].path == FetchPath{"s4", "a"});
    CHECK(reported[2].path == FetchPath{"s5", "a"});
}

TEST_CASE("a store that is late for one zone is not for another")
{
    FetchDelayTracker tracker;
    record_delays(tracker, 1200, 100);
    tracker.first_event({"slow", "b"}, at(0), at(10));
    tracker.first_event({"other", "b"}, at(0), at(10));
    CHECK(fetches_of(tracker, 1230) < 200);
    CHECK(tracker.should_fetch({"slow", "b"}, {large_part, {}, short_objective},
                               999, at(1230)));
}

TEST_CASE("calls prefill while the links of all stores are busy")
{
    // Compared to one another, no store is slow.
    FetchDelayTracker tracker;
    record_busy_links(tracker, 600, 50);
    CHECK(fetches_rather_than_prefill(tracker, {"s3", "a"}, 610) == 100);
}

TEST_CASE("a delay of all runners does not keep calls from fetching")
{
    FetchDelayTracker tracker;
    record_busy_links(tracker, 600, 550);
    CHECK(fetches_rather_than_prefill(tracker, {"s3", "a"}, 610) == 1000);
}

TEST_CASE("some calls prefill to show whether fetches are worth their delay")
{
    FetchDelayTracker tracker;
    for (int i = 0; i < 20; ++i)
        tracker.first_event({"s" + std::to_string(i), "a"}, at(0), at(600));
    CHECK(fetches_rather_than_prefill(tracker, {"s3", "a"}, 610) == 900);
}

TEST_CASE("part sizes that callers make up do not overflow the prefill time")
{
    const FetchDelayTracker tracker;
    const std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    const std::vector<PromptPart> parts{{"p1", most}, {"p2", most}};
    std::vector<KeptPlace> places(2);
    const FetchGain gain{most, std::chrono::hours(24), short_objective};
    tracker.skip_slow_stores(parts, places, "a", gain, 0, at(0));
    CHECK(places[0].kind == KeptPlace::Kind::None);
}

TEST_CASE("of few stores, fetches are not compared to prefills")
{
    FetchDelayTracker tracker;
    for (const char* store : {"s1", "s2", "s3"})
        tracker.first_event({store, "a"}, at(0), at(600));
    tracker.first_event(FetchPath::without_store("a"), at(0), at(50));
    CHECK(fetches_rather_than_prefill(tracker, {"s3", "a"}, 610) == 1000);
}

TEST_CASE("instances learn from others that the links of all stores are busy")
{
    FetchDelayTracker holder;
    record_busy_links(holder, 600, 50);
    FetchDelayTracker instance;
    for (int i = 0; i < 20; ++i) {
        const FetchPath path{"s" + std::to_string(i), "a"};
        instance.sent(path, at(100));
        instance.ended(path, at(100));
    }
    for (const FetchDelay& path : holder.delays(at(600)))
        instance.set_fleet_delay(path, at(600));
    // Of the stores, only one good one is reported.
    CHECK(fetches_rather_than_prefill(instance, {"s7", "a"}, 610) == 100);
    CHECK(instance.slow_stores(at(610)).empty());
}

TEST_CASE("an instance that is cut off uses its own samples")
{
    FetchDelayTracker tracker;
    tracker.set_fleet_delay({{"slow", "a"}, 0, Micros{0}}, at(0));
    tracker.set_fleet_delay({{"other", "a"}, 0, Micros{0}}, at(0));
    record_delays(tracker, 1200, 100);
    CHECK(fetches_of(tracker, 1230) < 200);
}

} // namespace crosslink
