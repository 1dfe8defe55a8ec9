// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/software_history.h>
#include <crosslink/forward/stream_origins.h>

#include <catch2/catch.hpp>

using namespace crosslink;

namespace
{

const TimePoint start{std::chrono::hours(1)};

using Services = std::set<std::string, std::less<>>;

ListedRunner
runner(const std::string& id, const std::string& software)
{
    ListedRunner listed;
    listed.id = id;
    listed.service = "llm";
    listed.address = "10.0.0.1:80";
    listed.zone = "a";
    listed.software = software;
    return listed;
}

RunnerQuery
query(const std::string* software)
{
    RunnerQuery asked;
    asked.service = "llm";
    asked.now = start;
    asked.software = software;
    return asked;
}

} // namespace

TEST_CASE("a version that is gone counts until no stream of it can go on")
{
    SoftwareHistory history;
    history.observe({{"llm", {{"v1", 4}}}}, start);
    CHECK_FALSE(history.several("llm", start));
    history.observe({{"llm", {{"v2", 4}}}}, start);
    CHECK(history.several("llm", start));
    CHECK(history.mixed(start) == Services{"llm"});
    CHECK_FALSE(history.several("other", start));
    const TimePoint end = start + StreamOrigins::lifetime;
    history.observe({{"llm", {{"v2", 4}}}}, end);
    CHECK_FALSE(history.several("llm", end));
    CHECK(history.mixed(end).empty());
}

TEST_CASE("a version that only the record names counts as one that served")
{
    SoftwareHistory history;
    history.recorded({"llm", "v1"}, start);
    history.observe({{"llm", {{"v1", 4}}}}, start);
    CHECK_FALSE(history.several("llm", start));
    history.recorded({"llm", "v0"}, start);
    history.recorded({"other", "v0"}, start);
    CHECK(history.several("llm", start));
    CHECK(history.mixed(start) == Services{"llm"});
    CHECK_FALSE(history.several("other", start));
    // However long ago it was recorded.
    const TimePoint later = start + 10 * StreamOrigins::lifetime;
    history.observe({{"llm", {{"v1", 4}}}}, later);
    CHECK(history.several("llm", later));
    const std::string current = ServedSoftware{"llm", "v1"}.record_id();
    history.recorded_only({current});
    CHECK_FALSE(history.several("llm", later));
    history.recorded({"llm", "v0"}, later);
    history.unrecorded(ServedSoftware{"llm", "v0"}.record_id());
    CHECK_FALSE(history.several("llm", later));
}

TEST_CASE("versions are recorded while they are listed, and a lifetime longer")
{
    SoftwareHistory history;
    const ServedSoftware old{"llm", "v1"};
    history.observe({{"llm", {{"v1", 4}}}}, start);
    CHECK(history.to_record(start) == std::vector<ServedSoftware>{old});
    history.recorded(old, start);
    CHECK(history.to_record(start).empty());
    const TimePoint last_listed = start + 2 * StreamOrigins::lifetime;
    history.observe({{"llm", {{"v1", 4}}}}, last_listed);
    CHECK(history.to_unrecord(last_listed).empty());
    const TimePoint end = last_listed + StreamOrigins::lifetime;
    CHECK(history.to_unrecord(end - Micros{1}).empty());
    CHECK(history.to_unrecord(end) ==
          std::vector<std::string>{old.record_id()});
}

TEST_CASE(
    "an instance that starts keeps the record of a version for a lifetime")
{
    SoftwareHistory history;
    const ServedSoftware gone{"llm", "v1"};
    history.recorded(gone, start);
    const TimePoint end = start + StreamOrigins::lifetime;
    CHECK(history.to_unrecord(end - Micros{1}).empty());
    CHECK(history.to_unrecord(end) ==
          std::vector<std::string>{gone.record_id()});
}

TEST_CASE("a record that the store lost holds, and is written again")
{
    SoftwareHistory history;
    const ServedSoftware old{"llm", "v1"};
    const ServedSoftware current{"llm", "v2"};
    history.recorded(old, start);
    history.recorded(current, start);
    history.record_lost(old.record_id());
    CHECK(history.several("llm", start));
    CHECK(history.to_record(start) == std::vector<ServedSoftware>{old});
    history.recorded(old, start);
    CHECK(history.to_record(start).empty());
}

TEST_CASE("records of services and versions have ids of their own")
{
    const ServedSoftware one{"llm", "v1"};
    CHECK(one.record_id() != ServedSoftware{"llm", "v2"}.record_id());
    CHECK(one.record_id() != ServedSoftware{"llm2", "v1"}.record_id());
    CHECK(one.record_id() == ServedSoftware{"llm", "v1"}.record_id());
}

TEST_CASE("listed runners are counted by their software")
{
    RunnerTable table;
    table.put(runner("a", "v1"), start);
    table.put(runner("a", "v1"), start);
    table.put(runner("b", "v2"), start);
    CHECK(table.software() == SoftwareCounts{{"llm", {{"v1", 1}, {"v2", 1}}}});
    // A process at the same id, of another version.
    table.put(runner("b", "v1"), start);
    CHECK(table.software() == SoftwareCounts{{"llm", {{"v1", 2}}}});
    table.remove("a");
    table.remove("b");
    CHECK(table.software().empty());
}

TEST_CASE("a stream that has begun goes to runners of its software only")
{
    RunnerTable table;
    table.put(runner("a", "v1"), start);
    table.put(runner("b", "v2"), start);
    const std::string second = "v2";
    const std::string gone = "v3";
    for (std::uint64_t random = 0; random < 20; ++random) {
        RunnerQuery asked = query(&second);
        asked.random = random;
        REQUIRE(table.choose(asked));
        CHECK(table.choose(asked)->id == "b");
        CHECK(table.choose(asked)->software == "v2");
    }
    CHECK_FALSE(table.choose(query(&gone)));
    CHECK(table.choose(query(nullptr)));
    CHECK_FALSE(table.next_available(query(&gone)).at);
}

TEST_CASE("a version that replaced the only one is not the only one")
{
    SoftwareHistory history;
    CHECK_FALSE(history.only("llm", start));
    history.observe({{"llm", {{"v1", 4}}}}, start);
    CHECK(history.only("llm", start) == "v1");
    const TimePoint gap = start + StreamOrigins::lifetime / 2;
    history.observe({}, gap);
    CHECK(history.only("llm", gap) == "v1");
    history.observe({{"llm", {{"v2", 4}}}}, gap);
    CHECK_FALSE(history.only("llm", gap));
    const TimePoint later = start + StreamOrigins::lifetime;
    CHECK(history.only("llm", later) == "v2");
}
