// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/event_tracker.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace crosslink
{

namespace
{

std::string
event(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: t" +
           std::to_string(number) + "\n\n";
}

} // namespace

TEST_CASE("only complete events are passed on")
{
    EventTracker tracker(std::nullopt);
    const std::string one = event(1);
    CHECK(tracker.take(one.substr(0, 5)).empty());
    CHECK(tracker.within_event());
    CHECK(tracker.take(one.substr(5)) == one);
    CHECK_FALSE(tracker.within_event());
    CHECK(tracker.last_event() == 1);
}

TEST_CASE("a skipped event is a gap")
{
    EventTracker tracker(std::nullopt);
    tracker.take(event(1));
    CHECK(tracker.take(event(3)).empty());
    CHECK(tracker.gap());
}

TEST_CASE("an event without end takes bounded memory")
{
    EventTracker tracker(std::nullopt);
    const std::string piece(8U << 10U, 'a');
    std::size_t taken = 0;
    while (!tracker.gap() && taken <= 2 * EventTracker::max_event_bytes) {
        CHECK(tracker.take(piece).empty());
        taken += piece.size();
    }
    CHECK(tracker.gap());
    CHECK(taken <= EventTracker::max_event_bytes + piece.size());
}

TEST_CASE("events without a number are passed on as received")
{
    EventTracker tracker(std::nullopt);
    const std::string plain = ": note\n\ndata: x\n\n";
    CHECK(tracker.take(plain) == plain);
    CHECK_FALSE(tracker.gap());
}

TEST_CASE("each event is passed on once and in order, however runs break off")
{
    CHECK(rc::check("once and in order", [] {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 20);
        EventTracker tracker(std::nullopt);
        std::string relayed;
        const auto broken = *rc::gen::inRange(0, 4);
        for (int i = 0; i <= broken; ++i) {
            tracker.begin_run();
            const std::uint64_t last = tracker.last_event().value_or(0);
            // A run may begin with events that were relayed before.
            const auto first = *rc::gen::inRange<std::uint64_t>(1, last + 2);
            std::string run;
            for (std::uint64_t n = first; n <= count; ++n)
                run += event(n);
            const std::size_t cut =
                i == broken ? run.size()
                            : *rc::gen::inRange<std::size_t>(0, run.size() + 1);
            std::size_t at = 0;
            while (at < cut) {
                const auto step =
                    std::min(cut - at, *rc::gen::inRange<std::size_t>(1, 60));
                relayed += tracker.take(std::string_view(run).substr(at, step));
                at += step;
            }
        }
        std::string whole;
        for (std::uint64_t i = 1; i <= count; ++i)
            whole += event(i);
        RC_ASSERT(relayed == whole);
        RC_ASSERT(!tracker.gap());
    }));
}

} // namespace crosslink
