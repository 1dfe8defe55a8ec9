// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/stream_origins.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace crosslink;

namespace
{

const TimePoint start{std::chrono::hours(1)};

StreamOrigin
origin(const std::string& stream, const std::string& software,
       std::uint32_t sends = 1)
{
    return {stream, "llm", software, sends};
}

std::map<std::string, InstanceInfo, std::less<>>
fleet(std::size_t zones, std::size_t each)
{
    std::map<std::string, InstanceInfo, std::less<>> instances;
    for (std::size_t zone = 0; zone < zones; ++zone)
        for (std::size_t i = 0; i < each; ++i) {
            InstanceInfo instance;
            instance.name = std::to_string(zone) + "-" + std::to_string(i);
            instance.zone = std::to_string(zone);
            instances[instance.name] = instance;
        }
    return instances;
}

bool
any_service(std::string_view)
{
    return true;
}

} // namespace

TEST_CASE("a stream belongs to the account that began it")
{
    CHECK(stream_key("one", "a") != stream_key("two", "a"));
    CHECK(stream_key("one", "a") != stream_key("one", "b"));
    CHECK(stream_key("one", "a") == stream_key("one", "a"));
}

TEST_CASE("the runner that a stream was sent to last began it")
{
    StreamOrigins origins;
    origins.note(origin("s", "v1"), start);
    origins.note(origin("s", "v2", 2), start);
    CHECK(origins.find("s", start)->software == "v2");
    // What another instance says late does not count.
    origins.merge(origin("s", "v1"), start);
    CHECK(origins.find("s", start)->software == "v2");
    CHECK_FALSE(origins.find("other", start));
}

TEST_CASE("an origin is forgotten after its lifetime, as it was sent")
{
    StreamOrigins origins;
    StreamOrigin told = origin("s", "v1");
    told.age = std::chrono::seconds(10);
    origins.merge(told, start);
    const TimePoint end = start + StreamOrigins::lifetime - told.age;
    CHECK(origins.find("s", end - Micros{1}));
    CHECK_FALSE(origins.find("s", end));
    origins.note(origin("t", "v1"), end);
    CHECK(origins.size() == 1);
}

TEST_CASE("an origin is found with the time since it was sent")
{
    StreamOrigins origins;
    StreamOrigin told = origin("s", "v1");
    told.age = std::chrono::seconds(10);
    origins.merge(told, start);
    const Micros since = std::chrono::seconds(2);
    CHECK(origins.find("s", start + since)->age == told.age + since);
}

TEST_CASE("the number of remembered origins is bounded")
{
    StreamOrigins origins;
    const std::size_t count = StreamOrigins::max_origins + 100;
    for (std::size_t i = 0; i < count; ++i)
        origins.note(origin(std::to_string(i), "v1"), start);
    CHECK(origins.size() == StreamOrigins::max_origins);
    CHECK(origins.find(std::to_string(count - 1), start));
    CHECK_FALSE(origins.find("0", start));
}

TEST_CASE("origins are told once, and those of other instances never")
{
    StreamOrigins origins;
    origins.note(origin("s", "v1"), start);
    origins.merge(origin("t", "v1"), start);
    const auto none = [](std::string_view) { return false; };
    CHECK(origins.take_untold(none, 10, start).empty());
    const auto told = origins.take_untold(any_service, 10, start + Micros{7});
    REQUIRE(told.size() == 1);
    CHECK(told.front().stream == "s");
    CHECK(told.front().age == Micros{7});
    CHECK(origins.take_untold(any_service, 10, start).empty());
    // A later send is told as well.
    origins.note(origin("s", "v2", 2), start);
    CHECK(origins.take_untold(any_service, 10, start).size() == 1);
}

TEST_CASE(
    "the homes of a stream are in different zones where there are several")
{
    const auto instances = fleet(4, 5);
    for (int i = 0; i < 50; ++i) {
        const auto homes = stream_homes(instances, std::to_string(i));
        REQUIRE(homes.size() == StreamOrigins::homes);
        std::set<std::string> zones;
        for (const InstanceInfo& home : homes)
            zones.insert(home.zone);
        CHECK(zones.size() == StreamOrigins::homes);
    }
}

TEST_CASE("a stream has as many homes as a fleet of one zone allows")
{
    CHECK(stream_homes(fleet(1, 5), "s").size() == StreamOrigins::homes);
    CHECK(stream_homes(fleet(1, 2), "s").size() == 2);
    CHECK(stream_homes({}, "s").empty());
}

TEST_CASE("the other homes stay where an instance goes")
{
    auto instances = fleet(3, 3);
    const auto before = stream_homes(instances, "s");
    instances.erase(before.front().name);
    const auto after = stream_homes(instances, "s");
    const auto is_home = [&after](const InstanceInfo& home) {
        return std::any_of(after.begin(), after.end(),
                           [&home](const InstanceInfo& other) {
                               return other.name == home.name;
                           });
    };
    CHECK(std::all_of(before.begin() + 1, before.end(), is_home));
}

TEST_CASE("streams are recorded from their first event until they are whole")
{
    StreamOrigins origins;
    origins.note(origin("sent", "v1"), start);
    CHECK_FALSE(origins.to_record(any_service, start));
    origins.began(origin("begun", "v1"), start);
    origins.began(origin("whole", "v1"), start);
    origins.ended("whole");
    const auto record = origins.to_record(any_service, start);
    REQUIRE(record);
    REQUIRE(record->size() == 1);
    CHECK(record->front().stream == "begun");
    // Until the platform has it.
    CHECK(origins.to_record(any_service, start));
    origins.recorded(*record);
    CHECK_FALSE(origins.to_record(any_service, start));
}

TEST_CASE("a new record has the streams of the last one that may be taken up")
{
    StreamOrigins origins;
    origins.began(origin("first", "v1"), start);
    origins.recorded(*origins.to_record(any_service, start));
    origins.began(origin("second", "v2"), start + Micros{1});
    CHECK(origins.to_record(any_service, start + Micros{1})->size() == 2);
    const TimePoint end = start + StreamOrigins::lifetime;
    const auto record = origins.to_record(any_service, end);
    REQUIRE(record);
    REQUIRE(record->size() == 1);
    CHECK(record->front().stream == "second");
}

TEST_CASE("streams of a service with one version are recorded once it has two")
{
    StreamOrigins origins;
    origins.began(origin("s", "v1"), start);
    const auto none = [](std::string_view) { return false; };
    CHECK_FALSE(origins.to_record(none, start));
    CHECK(origins.to_record(any_service, start)->size() == 1);
}

TEST_CASE("the version of a stream's first event counts for good")
{
    StreamOrigins origins;
    origins.note(origin("s", "v1", 2), start);
    origins.began(origin("s", "v2"), start);
    origins.merge(origin("s", "v1", 3), start);
    CHECK(origins.find("s", start)->software == "v2");
    // The homes were told of another one.
    CHECK(origins.take_untold(any_service, 10, start).size() == 2);
}

TEST_CASE("homes are not told of a first event that brings nothing new")
{
    StreamOrigins origins;
    origins.note(origin("s", "v1"), start);
    CHECK(origins.take_untold(any_service, 10, start).size() == 1);
    origins.began(origin("s", "v1"), start);
    CHECK(origins.take_untold(any_service, 10, start).empty());
}

TEST_CASE("records of streams take a tenth of the platform's rate at most")
{
    using std::chrono::milliseconds;
    CHECK(stream_record_pause(1, 400) == milliseconds(100));
    CHECK(stream_record_pause(800, 0) == milliseconds(100));
    CHECK(stream_record_pause(8, 400) == milliseconds(200));
    CHECK(stream_record_pause(800, 3200) == milliseconds(2500));
    CHECK(stream_reading_pause(1, 2000) == milliseconds(10));
    CHECK(stream_reading_pause(8, 2000) == milliseconds(40));
    // In two answers.
    CHECK(stream_reading_pause(800, 16'000) == milliseconds(1000));
}
