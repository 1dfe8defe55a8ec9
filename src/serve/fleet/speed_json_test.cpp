// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "speed_json.h"

#include "exchange_json.h"

#include <crosslink/base/error.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("an exchange carries the speed of runners in both directions")
{
    SpeedReport report;
    report.slow["r1/7"] = {3, 1, 4000, 9000, 700, 60};
    report.services["s"] = {5, 0, 40'000, 42'000, 800, 90};
    report.prefill["s"].counts[40] = 5;
    report.prefill["s"].counts[63] = 1;
    report.prefill["s"].age_sum_ms = 1234;
    ExchangeRequest request;
    request.speed = report;
    const auto asked = exchange_request_from_json(to_json(request)).speed;
    CHECK(asked.slow == report.slow);
    CHECK(asked.services == report.services);
    CHECK(asked.prefill == report.prefill);
    ExchangeResponse response;
    response.speed = report;
    const auto read = exchange_response_from_json(to_json(response)).speed;
    CHECK(read.slow == report.slow);
    CHECK(read.services == report.services);
    CHECK(read.prefill == report.prefill);
}

TEST_CASE("an exchange of an earlier version has no speeds")
{
    const Json::Value request = to_json(ExchangeRequest());
    CHECK_FALSE(request.isMember("slow"));
    CHECK_FALSE(request.isMember("prefill"));
    CHECK(exchange_request_from_json(request).speed.slow.empty());
    CHECK(exchange_request_from_json(request).speed.prefill.empty());
}

TEST_CASE("malformed speeds are rejected, and too many are dropped")
{
    Json::Value value = to_json(ExchangeResponse());
    value["slow"]["r1/7"].append(1);
    CHECK_THROWS_AS(exchange_response_from_json(value), Error);
    value = to_json(ExchangeResponse());
    value["prefill"]["s"].append(0);
    value["prefill"]["s"].append(64);
    value["prefill"]["s"].append(1);
    CHECK_THROWS_AS(exchange_response_from_json(value), Error);
    SpeedReport report;
    for (std::uint64_t i = 0; i < 100; ++i)
        report.slow["r/" + std::to_string(i)] = {1, 0, 1, i, 0, 0};
    value = Json::Value(Json::objectValue);
    add_speed_json(report, value);
    CHECK(speed_from_json(value).slow.size() == SpeedReport::max_rows);
}

} // namespace crosslink
