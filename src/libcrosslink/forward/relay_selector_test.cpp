// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/relay_selector.h>

#include <catch2/catch.hpp>

#include <set>

namespace crosslink
{

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};

RelaySelector::Instances
fleet()
{
    return {{"own", {"own", "1:1", "a"}},
            {"near", {"near", "2:1", "a"}},
            {"also near", {"also near", "3:1", "a"}},
            {"far", {"far", "4:1", "b"}}};
}

const InstanceInfo own{"own", "1:1", "a"};

std::set<std::string>
chosen(const RelaySelector& selector, TimePoint now,
       std::string_view runner = "r", const FailedZones& failed_zones = {},
       std::string_view service = "s")
{
    std::set<std::string> names;
    for (std::uint64_t random = 0; random < 8; ++random)
        if (const auto one =
                selector.choose(fleet(), own, {runner, service, "z"},
                                failed_zones, now, random))
            names.insert(one->name);
    return names;
}

} // namespace

TEST_CASE("calls are relayed by all other instances of the zone")
{
    CHECK(chosen({}, start) == std::set<std::string>{"near", "also near"});
}

TEST_CASE("other zones relay where no instance of the zone can")
{
    RelaySelector selector;
    selector.failed("2:1", {}, start);
    CHECK(chosen(selector, start) == std::set<std::string>{"also near"});
    selector.failed("3:1", {}, start);
    CHECK(chosen(selector, start) == std::set<std::string>{"far"});
    selector.failed("4:1", {}, start);
    CHECK(chosen(selector, start).empty());
    CHECK(chosen(selector, start + RelaySelector::min_pause) ==
          std::set<std::string>{"near", "also near"});
}

TEST_CASE("a call goes to another zone after one failure in its own")
{
    CHECK(chosen({}, start, "r", {"a"}) == std::set<std::string>{"far"});
    CHECK(chosen({}, start, "r", {"a", "b"}) ==
          std::set<std::string>{"near", "also near", "far"});
}

TEST_CASE("a zone of which few instances can help shares its load with others")
{
    RelaySelector::Instances instances = fleet();
    instances["third"] = {"third", "5:1", "a"};
    RelaySelector selector;
    selector.failed("2:1", {}, start);
    selector.failed("3:1", {}, start);
    std::set<std::string> names;
    for (std::uint64_t random = 0; random < 8; ++random)
        names.insert(
            selector.choose(instances, own, {"r", "s", "z"}, {}, start, random)
                ->name);
    CHECK(names == std::set<std::string>{"third", "far"});
}

TEST_CASE("an instance is asked less often the longer it can't help")
{
    RelaySelector selector;
    TimePoint now = start;
    for (Micros pause = RelaySelector::min_pause;
         pause <= RelaySelector::max_pause; pause *= 2) {
        selector.failed("2:1", {}, now);
        CHECK(!chosen(selector, now + pause - Micros(1)).contains("near"));
        now += pause;
        CHECK(chosen(selector, now).contains("near"));
    }
    selector.failed("2:1", {}, now);
    now += RelaySelector::max_pause;
    CHECK(chosen(selector, now).contains("near"));
    selector.helped("2:1");
    selector.failed("2:1", {}, now);
    CHECK(chosen(selector, now + RelaySelector::min_pause).contains("near"));
}

TEST_CASE("an instance that is cut off from one runner relays to others")
{
    RelaySelector selector;
    selector.failed("2:1", {"r", "s", "z"}, start);
    CHECK(chosen(selector, start) == std::set<std::string>{"also near"});
    CHECK(chosen(selector, start, "s") ==
          std::set<std::string>{"near", "also near"});
    CHECK(chosen(selector, start + RelaySelector::min_pause) ==
          std::set<std::string>{"near", "also near"});
}

TEST_CASE("an instance that is cut off from a service relays to others")
{
    RelaySelector selector;
    selector.failed("2:1", {{}, "s", {}}, start);
    CHECK(chosen(selector, start, "r") == std::set<std::string>{"also near"});
    CHECK(chosen(selector, start, "q") == std::set<std::string>{"also near"});
    CHECK(chosen(selector, start, "r", {}, "other") ==
          std::set<std::string>{"near", "also near"});
}

} // namespace crosslink
