// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/reported_slowness.h>

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

constexpr Micros usual = std::chrono::milliseconds(200);
constexpr Micros allowance = std::chrono::milliseconds(100);

/// Returns which part of 1000 calls `table` sends to `runner`.
double
part_of(const RunnerTable& table, const std::string& runner, int now_ms)
{
    int calls = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        RunnerQuery asked = query(now_ms);
        asked.random = i * 0x9e3779b97f4a7c15U;
        calls += table.choose(asked)->id == runner ? 1 : 0;
    }
    return calls / 1000.0;
}

/// Records answers of "r1", "r2" and "r3", of which "r1" takes `r1` of the
/// usual time.
void
answer(RunnerTable& table, int from_ms, int until_ms, double r1)
{
    for (int ms = from_ms; ms < until_ms; ms += 50) {
        table.answered({"r1"}, usual, from_seconds(r1 * seconds(usual)),
                       at(ms));
        table.answered({"r2"}, usual, usual, at(ms));
        table.answered({"r3"}, usual, usual, at(ms));
    }
}

/// Makes calls at "r1" overdue while "r2" answers.
void
stall(RunnerTable& table, int sent_ms, int now_ms)
{
    table.await({"r1"}, usual, allowance, at(sent_ms));
    table.answered({"r2"}, usual, usual, at(now_ms));
}

RunnerTable
three()
{
    return table_of({"r1", "r2", "r3"});
}

} // namespace

TEST_CASE("an instance avoids a process that others report as slow")
{
    RunnerTable teller = three();
    answer(teller, 0, 1000, 4);
    const SpeedReport report = teller.speed_report(at(1000));
    REQUIRE(report.slow.size() == 1);
    RunnerTable table = three();
    table.apply_speed_report(report, at(1000));
    CHECK(part_of(table, "r1", 1010) < 0.05);
    // The next process with the id is another one.
    ListedRunner next = table.entry("r1")->listed;
    next.start_ms = 5;
    table.put(next, at(1010));
    table.apply_speed_report(report, at(1020));
    CHECK(part_of(table, "r1", 1020) > 0.2);
}

TEST_CASE("only clear deviations are reported")
{
    RunnerTable table = three();
    answer(table, 0, 1000, 1.3);
    CHECK(table.speed_report(at(1000)).slow.empty());
    RunnerTable odd = three();
    answer(odd, 0, 1000, 1);
    odd.answered({"r1"}, usual, 100 * usual, at(1000));
    CHECK(odd.speed_report(at(1000)).slow.empty());
}

TEST_CASE("own recent answers take precedence over reports")
{
    RunnerTable teller = three();
    answer(teller, 0, 1000, 4);
    RunnerTable table = three();
    answer(table, 0, 1000, 1);
    table.apply_speed_report(teller.speed_report(at(1000)), at(1000));
    CHECK(part_of(table, "r1", 1010) > 0.25);
}

TEST_CASE("a process that has recovered gets its part back bit by bit")
{
    RunnerTable teller = three();
    answer(teller, 0, 1000, 4);
    RunnerTable table = three();
    table.apply_speed_report(teller.speed_report(at(1000)), at(1000));
    double before = 0;
    for (const int now : {1500, 2000, 2500, 3000, 3500, 4000}) {
        const double part = part_of(table, "r1", now);
        CHECK(part > before - 0.02);
        CHECK(part < before + 0.12);
        before = part;
    }
    CHECK(before > 0.28);
}

TEST_CASE("a stalled process gets no calls before any call times out")
{
    RunnerTable table = three();
    answer(table, 0, 200, 1);
    stall(table, 200, 490);
    CHECK(part_of(table, "r1", 499) > 0.2);
    // Due at 500, and nothing came.
    stall(table, 250, 505);
    CHECK(part_of(table, "r1", 510) == 0);
    CHECK(table.speed_report(at(510)).slow.begin()->second.stalled == 1);
    // It answers again.
    table.await_ended({"r1"}, at(500), true, at(600));
    CHECK(part_of(table, "r1", 600) > 0.2);
}

TEST_CASE("where no process answers, none counts as stalled")
{
    // A zone that is cut off, or a whole service that is too busy.
    RunnerTable table = three();
    answer(table, 0, 200, 1);
    table.await({"r1"}, usual, allowance, at(200));
    CHECK(part_of(table, "r1", 2000) > 0.2);
}

TEST_CASE("a call that ended without an answer says something for a while")
{
    RunnerTable table = three();
    answer(table, 0, 200, 1);
    stall(table, 200, 520);
    table.await_ended({"r1"}, at(500), false, at(600));
    CHECK(part_of(table, "r1", 610) < 0.02);
    // It is tried by more and more calls, not by all at once.
    CHECK(part_of(table, "r1", 1600) < 0.2);
    CHECK(part_of(table, "r1", 1600) > 0.05);
    CHECK(part_of(table, "r1", 3700) > 0.25);
    // One that its caller gave up early says nothing.
    RunnerTable early = three();
    answer(early, 0, 200, 1);
    const TimePoint due = early.await({"r1"}, usual, allowance, at(200));
    early.await_ended({"r1"}, due, false, at(300));
    early.answered({"r2"}, usual, usual, at(550));
    CHECK(part_of(early, "r1", 600) > 0.2);
}

TEST_CASE("one instance's report of a stall is less than two")
{
    // One instance alone may have lost its path to the process.
    RunnerTable teller = three();
    answer(teller, 0, 200, 1);
    stall(teller, 200, 520);
    const SpeedReport one = teller.speed_report(at(520));
    SpeedAggregator aggregator;
    aggregator.record_report("i1", one, at(520));
    aggregator.record_report("i2", one, at(520));
    const auto reported = [](const SpeedReport& report) {
        RunnerTable table = three();
        table.apply_speed_report(report, at(520));
        return table.entry("r1")->reported_slowness.is_stalled();
    };
    CHECK_FALSE(reported(one));
    CHECK_FALSE(reported(aggregator.others("i1", at(530))));
    CHECK(reported(aggregator.others("i3", at(530))));
}

TEST_CASE("a report has a bounded number of rows, those of the slowest")
{
    SpeedReport report;
    for (std::uint64_t i = 0; i < 200; ++i)
        report.slow[process_key({"r" + std::to_string(i), i})] = {1, 0, 1,
                                                                  i, 0, 0};
    report.limit();
    CHECK(report.slow.size() == SpeedReport::max_rows);
    CHECK(report.slow.contains("r199/199"));
    CHECK(report.slow.contains("r136/136"));
    const RunnerIncarnation process = process_of("host/a/17");
    CHECK(process.id == "host/a");
    CHECK(process.start_ms == 17);
}

} // namespace crosslink
