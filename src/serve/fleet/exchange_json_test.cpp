// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_json.h"
#include "fleet_json.h"

#include <crosslink/base/error.h>
#include <crosslink/base/json.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

ExchangeResponse
response_with(std::vector<KeptEntry> entries)
{
    ExchangeResponse response;
    response.kept.ready = true;
    response.kept.term = 7;
    response.kept.entries = std::move(entries);
    return response;
}

} // namespace

TEST_CASE("an exchange carries the load of runners with its KV memory")
{
    ExchangeResponse response;
    response.others["r1"] = {3, 9000, 41'000};
    const auto read = exchange_response_from_json(to_json(response));
    CHECK(read.others.at("r1").calls == 3);
    CHECK(read.others.at("r1").tokens == 9000);
    CHECK(read.others.at("r1").resident == 41'000);
}

TEST_CASE("an exchange carries the runners that may have restarted")
{
    const std::vector<ConnectionFailure> lost{
        {"r1", std::chrono::milliseconds(70)}};
    ExchangeRequest request;
    request.lost = lost;
    const auto asked = exchange_request_from_json(to_json(request));
    REQUIRE(asked.lost.size() == 1);
    CHECK(asked.lost[0].runner == "r1");
    CHECK(asked.lost[0].age == lost[0].age);
    ExchangeResponse response;
    response.lost = lost;
    response.loaded = {{"r2", 77, "m", 3}};
    const auto read = exchange_response_from_json(to_json(response));
    REQUIRE(read.lost.size() == 1);
    CHECK(read.lost[0].age == lost[0].age);
    REQUIRE(read.loaded.size() == 1);
    CHECK(read.loaded[0].start_ms == 77);
}

TEST_CASE("an exchange carries the requests under which runners ended")
{
    const Micros since_end = std::chrono::milliseconds(40);
    CrashUpdate update;
    update.broken = {{"digest-a", "r1", 7, false, since_end},
                     {"digest-b", "r1", 7, true, since_end},
                     {"digest-a", "r2", 0, true, std::chrono::seconds(1)}};
    update.answered = {{"digest-b", std::chrono::milliseconds(10)}};
    update.held = {{"digest-a", std::chrono::milliseconds(20)}};
    ExchangeRequest request;
    request.crashes = update;
    const auto asked = exchange_request_from_json(to_json(request)).crashes;
    REQUIRE(asked.broken.size() == 3);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(asked.broken[i].key == update.broken[i].key);
        CHECK(asked.broken[i].runner == update.broken[i].runner);
        CHECK(asked.broken[i].start_ms == update.broken[i].start_ms);
        CHECK(asked.broken[i].again == update.broken[i].again);
        CHECK(asked.broken[i].since_end == update.broken[i].since_end);
    }
    ExchangeResponse response;
    response.crashes = update;
    const auto read = exchange_response_from_json(to_json(response)).crashes;
    CHECK(read.broken.size() == 3);
    REQUIRE(read.answered.size() == 1);
    REQUIRE(read.held.size() == 1);
    CHECK(read.held[0].key == "digest-a");
    CHECK(read.held[0].since == update.held[0].since);
    CHECK(read.answered[0].key == "digest-b");
    CHECK(read.answered[0].since == update.answered[0].since);
}

TEST_CASE("a runner's end without its name or age is rejected")
{
    Json::Value value = to_json(ExchangeRequest());
    value["crashes"]["broken"].append(Json::Value(Json::arrayValue));
    CHECK_THROWS_AS(exchange_request_from_json(value), Error);
}

TEST_CASE("an exchange carries limits of runners, and their ends")
{
    ExchangeRequest request;
    request.limits = {{"r1", 7, 1.5, 3, 40}, {"r2", 0, no_rate_limit, 2, 9}};
    const auto asked = exchange_request_from_json(to_json(request)).limits;
    REQUIRE(asked.size() == 2);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(asked[i].runner == request.limits[i].runner);
        CHECK(asked[i].start_ms == request.limits[i].start_ms);
        CHECK(asked[i].per_second == request.limits[i].per_second);
        CHECK(asked[i].change == request.limits[i].change);
        CHECK(asked[i].confirmations == request.limits[i].confirmations);
    }
    ExchangeResponse response;
    response.limits = request.limits;
    CHECK(exchange_response_from_json(to_json(response)).limits.size() == 2);
    Json::Value value = to_json(request);
    value["limits"].append(Json::Value(Json::arrayValue));
    CHECK_THROWS_AS(exchange_request_from_json(value), Error);
}

TEST_CASE("an exchange carries how late stores are")
{
    ExchangeRequest request;
    request.fetches = {{{"a:1", "z"}, 3, 250}};
    const auto asked = exchange_request_from_json(to_json(request));
    REQUIRE(asked.fetches.size() == 1);
    CHECK(asked.fetches[0].path == FetchPath{"a:1", "z"});
    CHECK(asked.fetches[0].calls == 3);
    CHECK(asked.fetches[0].late_ms == 250);
    ExchangeResponse response;
    response.fetches = {{{"a:1", "z"}, -4, std::chrono::milliseconds(30)}};
    const auto read = exchange_response_from_json(to_json(response));
    REQUIRE(read.fetches.size() == 1);
    CHECK(read.fetches[0].path == FetchPath{"a:1", "z"});
    CHECK(read.fetches[0].late_ms == -4);
    CHECK(read.fetches[0].age == std::chrono::milliseconds(30));
}

TEST_CASE("an exchange carries changes of the platform's store unmodified")
{
    ExchangeResponse response;
    response.age = std::chrono::milliseconds(120);
    response.changes_age = std::chrono::milliseconds(340);
    response.load_age = std::chrono::milliseconds(90);
    response.kept.age = std::chrono::milliseconds(56);
    response.holders = {
        {3, 8}, std::chrono::seconds(9), {{"a:1", std::chrono::seconds(2)}}};
    response.changes = {
        4,
        {3, 9},
        false,
        {{"a", "{\"x\":\"\u00fc\"}", 5}, {"b", std::nullopt, 9}}};
    const auto read = exchange_response_from_json(to_json(response));
    CHECK(read.age == response.age);
    CHECK(read.changes_age == response.changes_age);
    CHECK(read.load_age == response.load_age);
    CHECK(read.kept.age == response.kept.age);
    CHECK(read.holders.position == response.holders.position);
    CHECK(read.holders.observed_for == response.holders.observed_for);
    REQUIRE(read.holders.ended.size() == 1);
    CHECK(read.holders.ended[0].address == "a:1");
    CHECK(read.holders.ended[0].ago == response.holders.ended[0].ago);
    CHECK(read.changes.since == 4);
    CHECK(read.changes.position == response.changes.position);
    CHECK_FALSE(read.changes.is_snapshot);
    REQUIRE(read.changes.entries.size() == 2);
    CHECK(read.changes.entries[0].value == response.changes.entries[0].value);
    CHECK(read.changes.entries[0].revision == 5);
    CHECK_FALSE(read.changes.entries[1].value);
}

TEST_CASE("an exchange carries runners that announced that they leave")
{
    ExchangeRequest request;
    request.leaving = {{"r1", 7}, {"r2", 0}};
    const auto asked = exchange_request_from_json(to_json(request)).leaving;
    REQUIRE(asked.size() == 2);
    CHECK(asked[0].runner == "r1");
    CHECK(asked[0].start_ms == 7);
    ExchangeResponse response;
    response.leaving = request.leaving;
    Json::Value value = to_json(response);
    CHECK(exchange_response_from_json(value).leaving.size() == 2);
    // An instance of an earlier version omits the member.
    value.removeMember("leaving");
    CHECK(exchange_response_from_json(value).leaving.empty());
    value["leaving"].append(Json::Value("r1"));
    CHECK_THROWS_AS(exchange_response_from_json(value), Error);
}

TEST_CASE("a malformed page of changes is rejected with BadJson")
{
    for (const char* row : {"[]", "[\"a\"]", "[\"a\",\"5\"]", "[5,5]",
                            "[\"a\",5,7]", "{\"a\":5}", "\"a\""}) {
        const std::string page =
            R"({"since":1,"place":5,"entries":[)" + std::string(row) + "]}";
        INFO(page);
        try {
            change_page_from_json(parse_json(page));
            FAIL("taken");
        } catch (const Error& failure) {
            CHECK(failure.code() == ErrorCode::BadJson);
        }
    }
    CHECK(change_page_from_json(Json::Value()).entries.empty());
}

TEST_CASE("an instance that knows nothing asks for a snapshot")
{
    ExchangeRequest request;
    CHECK_FALSE(exchange_request_from_json(to_json(request)).known_position);
    request.known_position = StorePosition{};
    CHECK(exchange_request_from_json(to_json(request)).known_position ==
          StorePosition{});
    CHECK_THROWS_AS(store_position_from_json(Json::Value("7")), Error);
    CHECK_THROWS_AS(store_position_from_json(Json::Value(7)), Error);
    request.known_position = StorePosition{2, 7};
    CHECK(exchange_request_from_json(to_json(request)).known_position ==
          StorePosition{2, 7});
}

TEST_CASE("of several changes of a part, the last one is encoded")
{
    const auto response = response_with({{"s", "a", "store"},
                                         {"s", "b", "store"},
                                         {"s", "a", ""},
                                         {"t", "a", "other"}});
    const auto read = exchange_response_from_json(to_json(response));
    REQUIRE(read.kept.entries.size() == 3);
    for (const KeptEntry& entry : read.kept.entries) {
        const bool first = entry.space == "s" && entry.id == "a";
        CHECK(entry.store.empty() == first);
    }
}

TEST_CASE("a complete directory takes a few bytes for each part")
{
    constexpr std::size_t parts = 3000;
    constexpr std::size_t most_bytes_each = 32;
    std::vector<KeptEntry> entries;
    entries.reserve(parts);
    for (std::size_t i = 0; i < parts; ++i)
        entries.push_back({"model-with-a-name/1/164",
                           std::to_string(0x10000000 + i),
                           "172.20.0." + std::to_string(i % 30) + ":8528"});
    const std::string text =
        to_json(response_with(std::move(entries))).toStyledString();
    // Styled text has an indented line for each id: the wire format is smaller.
    CHECK(text.size() < parts * most_bytes_each);
}

TEST_CASE("a packed snapshot is decoded as its entries, and is far shorter")
{
    ChangePage page;
    page.position.revision = 20'000;
    page.is_snapshot = true;
    for (std::uint64_t i = 0; i < 10'000; ++i)
        page.entries.push_back(
            {"servers/i-" + std::to_string(i),
             R"({"service":"s","address":"10.1.)" + std::to_string(i % 250) +
                 "." + std::to_string(i / 250) +
                 R"(:8080","zone":"zone-a","slots":24,"state":"ready"})",
             i + 1});
    const std::string plain = json_text(to_json(page));
    ChangePage packed = page;
    packed.packed =
        std::make_shared<const std::string>(pack_entries(page.entries));
    packed.entries.clear();
    const std::string text = json_text(to_json(packed));
    CHECK(text.size() * 5 < plain.size());
    const ChangePage read = change_page_from_json(parse_json(text));
    CHECK(read.position.revision == page.position.revision);
    CHECK(read.is_snapshot);
    REQUIRE(read.entries.size() == page.entries.size());
    CHECK(std::equal(read.entries.begin(), read.entries.end(),
                     page.entries.begin(), [](const auto& a, const auto& b) {
                         return a.key == b.key && a.value == b.value &&
                                a.revision == b.revision;
                     }));
}

TEST_CASE("an exchange tells whether it brings the load of one zone only")
{
    ExchangeRequest request;
    request.zone = "zone-a";
    CHECK(exchange_request_from_json(to_json(request)).zone == "zone-a");
    ExchangeResponse response;
    response.own_zone_only = true;
    CHECK(exchange_response_from_json(to_json(response)).own_zone_only);
    CHECK_FALSE(exchange_response_from_json(Json::Value(Json::objectValue))
                    .own_zone_only);
}

} // namespace crosslink
