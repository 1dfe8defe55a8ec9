// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/prefill_rate.h>

#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/speed_report.h>

#include "../testing/runners_of_a_zone.h"

#include <catch2/catch.hpp>

#include <string>

namespace crosslink
{

namespace
{

using testing::at;
using testing::query;
using testing::table_of;

constexpr std::uint64_t prompt = 9000;

/// Adds `count` prompts that were prefilled at `rate` tokens per millisecond.
void
add(PrefillRate& learned, int count, double rate, int now_ms = 0,
    Micros delay = Micros{0}, const std::string& runner = "r")
{
    for (int i = 0; i < count; ++i)
        learned.prefilled(runner, prompt, Micros{0},
                          reading_time(prompt, rate) + delay, at(now_ms));
}

bool
is_near(double rate, double expected)
{
    return rate > 0.93 * expected && rate < 1.07 * expected;
}

} // namespace

TEST_CASE("the usual rate holds until enough prompts were prefilled")
{
    PrefillRate learned;
    CHECK(learned.tokens_per_ms(at(0)) == usual_prefill_rate);
    add(learned, 7, 100);
    CHECK(learned.tokens_per_ms(at(0)) == usual_prefill_rate);
    // Not all at once: a few samples may be odd.
    add(learned, 5, 100);
    CHECK(learned.tokens_per_ms(at(0)) > usual_prefill_rate);
    CHECK(learned.tokens_per_ms(at(0)) < 0.8 * 100);
    add(learned, 20, 100);
    CHECK(is_near(learned.tokens_per_ms(at(0)), 100));
}

TEST_CASE("a service whose engines are about as fast as usual sees no change")
{
    for (const double rate : {45.0, 50.0, 55.0}) {
        PrefillRate learned;
        add(learned, 50, rate);
        CHECK(learned.tokens_per_ms(at(0)) == usual_prefill_rate);
    }
}

TEST_CASE("waits that were not known do not make engines seem slow")
{
    PrefillRate learned;
    for (int i = 0; i < 20; ++i) {
        add(learned, 1, 36.7);
        add(learned, 2, 36.7, 0, std::chrono::milliseconds(100 + 10 * i));
        add(learned, 1, 36.7);
    }
    CHECK(is_near(learned.tokens_per_ms(at(0)), 36.7));
}

TEST_CASE("prompts that are known to have waited, and short ones, do not count")
{
    PrefillRate learned;
    for (int i = 0; i < 50; ++i) {
        const Micros taken = reading_time(prompt, 10);
        learned.prefilled("r", prompt, taken / 2, taken, at(0));
        learned.prefilled("r", 100, Micros{0}, taken, at(0));
        learned.prefilled("r", prompt, Micros{0}, Micros{0}, at(0));
    }
    CHECK(learned.samples(at(0)).count() == 0);
}

TEST_CASE("odd answers do not move the rate, and it stays plausible")
{
    PrefillRate learned;
    // Of prompts that were in the engine's memory.
    add(learned, 6, 4000);
    add(learned, 40, 70);
    CHECK(is_near(learned.tokens_per_ms(at(0)), 70));
    PrefillRate odd;
    add(odd, 60, 1e6);
    CHECK(odd.tokens_per_ms(at(0)) <= 10 * usual_prefill_rate);
    PrefillRate slow;
    add(slow, 60, 0.01);
    CHECK(slow.tokens_per_ms(at(0)) >= usual_prefill_rate / 10);
}

TEST_CASE("samples are discarded with their process and with time")
{
    PrefillRate learned;
    add(learned, 30, 100, 0, Micros{0}, "old");
    learned.forget("old");
    CHECK(learned.tokens_per_ms(at(0)) == usual_prefill_rate);
    add(learned, 30, 30, 0, Micros{0}, "new");
    CHECK(is_near(learned.tokens_per_ms(at(59'000)), 30));
    CHECK(learned.tokens_per_ms(at(60'000)) == usual_prefill_rate);
}

TEST_CASE("reports of other instances count while they are recent")
{
    PrefillRate other;
    add(other, 30, 100);
    PrefillRate learned;
    learned.set_others(other.samples(at(1000)), at(1000));
    CHECK(is_near(learned.tokens_per_ms(at(3900)), 100));
    CHECK(learned.tokens_per_ms(at(4000)) == usual_prefill_rate);
    // A report that went round for longer than a sample counts.
    PrefillSamples old = other.samples(at(1000));
    old.age_by(PrefillRate::lifetime);
    learned.set_others(old, at(5000));
    CHECK(learned.tokens_per_ms(at(5000)) == usual_prefill_rate);
}

TEST_CASE("a runner with other calls says nothing of the prefill rate")
{
    // Under load, waits that nobody knew of made engines seem five times
    // slower.
    RunnerTable table = table_of({"r"});
    const auto prefill = [&table] {
        for (int i = 0; i < 30; ++i)
            table.prefilled({"r"}, prompt, Micros{0}, reading_time(prompt, 10),
                            at(0));
        return table.prefill_rate("s", at(0));
    };
    table.set_remote_load({{"r", {1, 0}}}, at(0));
    CHECK(prefill() == usual_prefill_rate);
    table.set_remote_load({}, at(0));
    table.sent({"r"}, prompt, 0, at(0));
    table.sent({"r"}, prompt, 0, at(0));
    CHECK(prefill() == usual_prefill_rate);
    table.ended({"r"});
    CHECK(prefill() < usual_prefill_rate / 2);
}

TEST_CASE("waits, prices and the age of reported load follow the learned rate")
{
    RunnerTable table = table_of({"r"});
    for (int i = 0; i < 30; ++i)
        table.prefilled({"r"}, prompt, Micros{0}, reading_time(prompt, 100),
                        at(0));
    const double rate = table.prefill_rate("s", at(0));
    CHECK(is_near(rate, 100));
    table.set_remote_load({{"r", {1, 20'000}}}, at(0));
    CHECK(table.choose(query(0))->wait == reading_time(20'000, rate));
    CHECK(table.choose(query(100))->wait < reading_time(11'000, rate));
    CHECK(table.choose(query(0))->prefill_rate == rate);
    const auto aged = table.aged_load({{"r", {1, 20'000}}, {"x", {1, 20'000}}},
                                      std::chrono::milliseconds(100), at(0));
    CHECK(aged.at("r").tokens < 11'000);
    CHECK(aged.at("x").tokens == 15'000);
    // Another process may have another engine.
    ListedRunner next = table.entry("r")->listed;
    next.start_ms = 1;
    table.put(next, at(0));
    CHECK(table.prefill_rate("s", at(0)) == usual_prefill_rate);
}

} // namespace crosslink
