// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/model_runners.h"

#include <crosslink/forward/segment_demand.h>
#include <crosslink/forward/segment_holders.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace crosslink
{

using namespace testing::model_runners;

namespace
{

constexpr Micros saved = std::chrono::milliseconds(100);

std::vector<RunnerEntry>
twelve_runners()
{
    std::vector<RunnerEntry> entries(12);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].listed = runner("r" + std::to_string(i), "a");
        entries[i].served = true;
    }
    return entries;
}

/// Returns what each of `entries` saves a call with `segments`.
std::vector<double>
savings(const std::vector<RunnerEntry>& entries,
        const std::vector<SharedSegment>& segments)
{
    std::vector<const RunnerEntry*> runners;
    runners.reserve(entries.size());
    for (const RunnerEntry& entry : entries)
        runners.push_back(&entry);
    RunnerQuery asked = query_of(10'000);
    asked.segments = segments;
    const SegmentHolders holders(runners, asked);
    std::vector<double> result;
    result.reserve(entries.size());
    for (const RunnerEntry& entry : entries)
        result.push_back(holders.saved_ms(entry));
    return result;
}

std::size_t
count_above(const std::vector<double>& values, double bound)
{
    return static_cast<std::size_t>(
        std::count_if(values.begin(), values.end(),
                      [bound](double value) { return value > bound; }));
}

} // namespace

TEST_CASE("a segment in higher demand has more holders")
{
    const auto entries = twelve_runners();
    CHECK(count_above(savings(entries, {{"s", saved, 0.01}}), 0) == 1);
    CHECK(count_above(savings(entries, {{"s", saved, 0.25}}), 0) >= 3);
    CHECK(count_above(savings(entries, {{"s", saved, 1}}), 99) == 12);
    CHECK(count_above(savings(entries, {}), 0) == 0);
}

TEST_CASE("a segment is held where the segment before it is")
{
    const auto both =
        savings(twelve_runners(), {{"s", saved, 0.2}, {"t", saved, 0.1}});
    const auto first = savings(twelve_runners(), {{"s", saved, 0.2}});
    for (std::size_t i = 0; i < both.size(); ++i)
        CHECK((both[i] == first[i] || first[i] > 0));
    CHECK(count_above(both, 100) > 0);
}

TEST_CASE("a rare segment promises less, as its holder hardly ever has it")
{
    const auto rare = savings(twelve_runners(), {{"s", saved, 0.001}});
    CHECK(count_above(rare, 0) == 1);
    CHECK(count_above(rare, 20) == 0);
}

TEST_CASE("a new process is not taken to have segments")
{
    auto entries = twelve_runners();
    for (RunnerEntry& entry : entries)
        entry.served = false;
    CHECK(count_above(savings(entries, {{"s", saved, 1}}), 0) == 0);
    RunnerTable table;
    ListedRunner listed = runner("r", "a");
    table.put(listed, at(0));
    table.succeeded({"r"});
    CHECK(table.entry("r")->served);
    listed.start_ms = 1;
    table.put(listed, at(1));
    CHECK_FALSE(table.entry("r")->served);
}

TEST_CASE("prompts without a length leave no undefined demand")
{
    SegmentDemand demand;
    const TimePoint now(std::chrono::seconds(1));
    demand.called("s", 0, now);
    CHECK(demand.contained("s", "p", 0, now) == 0);
}

TEST_CASE("the demand for segments fades, and rare ones do not fill memory")
{
    SegmentDemand demand;
    for (int i = 0; i < 10; ++i) {
        demand.called("s", 1000, at(0));
        demand.contained("s", i < 5 ? "a" : "b", 1000, at(0));
    }
    demand.called("s", 1000, at(15'000));
    const double left = demand.contained("s", "a", 1000, at(15'000));
    CHECK(left > 0.5);
    CHECK(left < 1);
    for (int i = 0; i < 5000; ++i)
        demand.contained("s", std::to_string(i), 1000, at(15'000));
    CHECK(demand.segments_counted() == SegmentDemand::max_segments);
    CHECK(demand.contained("s", "c", 1000, at(60'000)) > 0);
    CHECK(demand.segments_counted() == 1);
}

} // namespace crosslink
