// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/played_load.h"

#include <crosslink/forward/queue_limit.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

using testing::PlayedFleet;
using testing::PlayedKind;
using testing::PlayedLoad;
using testing::PlayedTally;

constexpr std::size_t urgent = 0; ///< Small prompts, short answers.
constexpr std::size_t large = 1;  ///< Large prompts, long answers.

Micros
millis(int count)
{
    return std::chrono::milliseconds(count);
}

/// Callers of two kinds that take two thirds of the memory of nine engines.
std::vector<PlayedKind>
two_kinds()
{
    PlayedKind small;
    small.per_second = 46;
    small.resident = 2400;
    small.to_read = 500;
    small.to_make = 20;
    small.objective = millis(1200);
    small.deadline = millis(3000);
    PlayedKind big;
    big.per_second = 12;
    big.priority = 1;
    big.resident = 12'000;
    big.to_read = 2900;
    big.to_make = 380;
    big.objective = millis(1200);
    big.deadline = millis(12'000);
    return {small, big};
}

/// Returns the calls of both kinds that were answered in time in each second at
/// a constant `load`, weighted by the memory that they take.
double
goodput(double load, bool limited)
{
    PlayedFleet fleet;
    fleet.limited = limited;
    PlayedLoad played(two_kinds(), fleet);
    played.play(30, [load](double) { return load; });
    double tokens = 0;
    for (const std::size_t kind : {urgent, large})
        tokens += played.tally(kind, 10, 25).in_time *
                  static_cast<double>(two_kinds()[kind].resident);
    return tokens / 15;
}

/// Load 1, and `peak` from second 10 to 16.
PlayedLoad::Load
peak_of(double peak)
{
    return [peak](double second) {
        return second >= 10 && second < 16 ? peak : 1.0;
    };
}

/// Random bits of a call that is judged by its urgency and share, and of one
/// that is not.
constexpr std::uint64_t not_favored = 999ULL << 32U;
constexpr std::uint64_t favored = 0;

QueuedCall
call(int expected_ms, int objective_ms)
{
    QueuedCall call;
    call.expected_wait = millis(expected_ms);
    call.objective = millis(objective_ms);
    return call;
}

} // namespace

TEST_CASE("a call is sent if it is expected to be answered in time")
{
    CHECK_FALSE(QueueLimit::refusal(call(0, 300), 0));
    CHECK_FALSE(QueueLimit::refusal(call(200, 1200), 0));
    CHECK(QueueLimit::refusal(call(1200, 1200), 0));
}

TEST_CASE("a call without an objective is never refused")
{
    CHECK_FALSE(QueueLimit::refusal(call(60'000, 0), 0));
}

TEST_CASE("the time that a call has already waited counts")
{
    QueuedCall waited = call(200, 1200);
    waited.waited = millis(1000);
    CHECK(QueueLimit::refusal(waited, 0));
}

TEST_CASE("callers that are refused retry at different times")
{
    std::vector<Micros> times;
    for (std::uint64_t i = 0; i < 100; ++i)
        times.push_back(
            QueueLimit::refusal(call(2400, 1200), i * 10)->retry_after);
    const auto [least, most] = std::minmax_element(times.begin(), times.end());
    CHECK(*least >= millis(250));
    CHECK(*most >= 3 * *least / 2);
}

TEST_CASE("less urgent calls and those above their share are refused first")
{
    QueuedCall judged = call(100, 800);
    CHECK_FALSE(QueueLimit::refusal(judged, not_favored));
    judged.account_above_share = true;
    const auto above = QueueLimit::refusal(judged, not_favored);
    REQUIRE(above);
    CHECK(above->reason == QueueRefusal::Reason::AboveShare);
    judged.account_above_share = false;
    judged.objective = millis(2000);
    judged.urgency = {1, millis(800)};
    const auto less_urgent = QueueLimit::refusal(judged, not_favored);
    REQUIRE(less_urgent);
    CHECK(less_urgent->reason == QueueRefusal::Reason::LessUrgent);
    CHECK(less_urgent->allowed == millis(80));
    // Some of them are judged like the most urgent ones.
    CHECK_FALSE(QueueLimit::refusal(judged, favored));
}

TEST_CASE("no combination of urgency and share is refused for ever")
{
    QueuedCall judged = call(100, 800);
    judged.account_above_share = true;
    judged.urgency = {9, millis(800)};
    std::mt19937_64 random(1);
    int sent = 0;
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i)
        sent += QueueLimit::refusal(judged, random()) ? 0 : 1;
    CHECK(sent >= calls / 4);
}

TEST_CASE("a burst of less urgent calls does not make urgent ones late")
{
    // The larger kind has an objective that is twice as long: by its own alone,
    // it could fill the queues before the urgent kind.
    std::vector<PlayedKind> kinds = two_kinds();
    kinds[large].objective = millis(2400);
    PlayedLoad played(kinds, PlayedFleet{});
    played.play(30, peak_of(2));
    const PlayedTally first = played.tally(urgent, 10, 16);
    const PlayedTally second = played.tally(large, 10, 16);
    INFO("urgent " << first.in_time_part() << ", large "
                   << second.in_time_part());
    CHECK(first.in_time_part() >= 0.95);
    CHECK(second.in_time + second.late > second.asked / 4);
}

TEST_CASE("all callers are answered in time under normal load")
{
    PlayedLoad played(two_kinds(), PlayedFleet{});
    played.play(20, [](double) { return 1; });
    CHECK(played.tally(urgent, 2, 18).in_time_part() > 0.99);
    CHECK(played.tally(large, 2, 18).in_time_part() > 0.99);
}

TEST_CASE("a load above the runners' capacity does not lower their throughput")
{
    double best = 0;
    double at_three = 0;
    for (const double load : {1.0, 1.25, 1.5, 2.0, 2.5, 3.0}) {
        at_three = goodput(load, true);
        best = std::max(best, at_three);
    }
    INFO("best " << best << ", at three times " << at_three);
    CHECK(at_three > 0.9 * best);
    // Without the limit a fifth of it is lost.
    CHECK(goodput(3, false) < 0.8 * best);
}

TEST_CASE("two objectives after a peak, callers are answered in time again")
{
    for (const double peak : {2.0, 3.0}) {
        PlayedLoad played(two_kinds(), PlayedFleet{});
        played.play(30, peak_of(peak));
        CHECK(played.tally(urgent, 18.4, 28).in_time_part() > 0.95);
        CHECK(played.tally(large, 18.4, 28).in_time_part() > 0.95);
    }
}

TEST_CASE("no kind is starved in a peak, and the urgent one comes first")
{
    PlayedLoad played(two_kinds(), PlayedFleet{});
    played.play(30, peak_of(2));
    const PlayedTally first = played.tally(urgent, 10, 16);
    const PlayedTally second = played.tally(large, 10, 16);
    INFO("urgent " << first.in_time_part() << ", large "
                   << second.in_time_part());
    CHECK(first.in_time_part() >= second.in_time_part());
    CHECK(second.in_time + second.late > second.asked / 4);
}

TEST_CASE("without a third of the runners, most calls are answered in time")
{
    PlayedFleet fleet;
    fleet.engines = 6;
    PlayedLoad limited(two_kinds(), fleet);
    limited.play(30, [](double) { return 1; });
    fleet.limited = false;
    PlayedLoad unlimited(two_kinds(), fleet);
    unlimited.play(30, [](double) { return 1; });
    const PlayedTally with = limited.tally(large, 10, 28);
    const PlayedTally without = unlimited.tally(large, 10, 28);
    INFO("in time " << with.in_time << " of " << with.asked << ", "
                    << without.in_time << " without the limit");
    CHECK(limited.tally(urgent, 10, 28).in_time_part() > 0.75);
    CHECK(with.in_time > without.in_time + without.asked / 20);
}

TEST_CASE("instances with late load reports do not overload the same runners")
{
    PlayedFleet fleet;
    fleet.engines = 60;
    fleet.instances = 40;
    fleet.told_ms = 300;
    std::vector<PlayedKind> kinds = two_kinds();
    for (PlayedKind& kind : kinds)
        kind.per_second *= 60.0 / 9;
    PlayedLoad played(kinds, fleet);
    played.play(12, [](double) { return 1; });
    INFO("urgent " << played.tally(urgent, 4, 10).in_time_part() << ", large "
                   << played.tally(large, 4, 10).in_time_part());
    CHECK(played.tally(urgent, 4, 10).in_time_part() > 0.95);
    CHECK(played.tally(large, 4, 10).in_time_part() > 0.85);
}

TEST_CASE("a large fleet reads all prompts whole, and most begin in time")
{
    // As after a loss of all kept KV: 0.7 of what the runners can prefill.
    PlayedFleet fleet;
    fleet.engines = 256;
    fleet.instances = 295;
    fleet.zones = 5;
    fleet.told_ms = 300;
    fleet.speed = 1.2;
    fleet.memory = 40'000;
    PlayedKind small;
    small.per_second = 450;
    small.resident = small.to_read = 830;
    small.to_make = 22;
    small.objective = millis(400);
    small.deadline = millis(12'000);
    PlayedKind big;
    big.per_second = 890;
    big.priority = 1;
    big.resident = big.to_read = 9200;
    big.to_make = 4;
    big.objective = millis(500);
    big.deadline = millis(4000);
    PlayedLoad played({small, big}, fleet);
    played.play(6, [](double) { return 1; });
    INFO("urgent " << played.tally(urgent, 1, 5).in_time_part() << ", large "
                   << played.tally(large, 1, 5).in_time_part());
    CHECK(played.tally(urgent, 1, 5).in_time_part() > 0.93);
    CHECK(played.tally(large, 1, 5).in_time_part() > 0.9);
}

TEST_CASE("runners of mixed speed are used according to their speed")
{
    PlayedFleet fleet;
    fleet.slow_speed = 1 / 1.3;
    PlayedLoad played(two_kinds(), fleet);
    played.play(25, [](double) { return 1; });
    CHECK(played.tally(urgent, 5, 23).in_time_part() > 0.97);
    CHECK(played.tally(large, 5, 23).in_time_part() > 0.97);
}

} // namespace crosslink
