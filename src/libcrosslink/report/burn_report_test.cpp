// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/report/burn_report.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

RequestOutcome
outcome(bool late)
{
    RequestOutcome result;
    result.account = "cooks<1>";
    result.model = "m";
    result.zone = "z";
    result.answered = true;
    result.first_token =
        late ? std::chrono::seconds(3) : std::chrono::seconds(1);
    result.prompt_tokens = 100;
    result.computed_tokens = 40;
    return result;
}

} // namespace

TEST_CASE("late answers burn the budget in both windows")
{
    BurnReport report;
    const TimePoint now{std::chrono::hours(5)};
    for (int i = 0; i < 10; ++i)
        report.add(outcome(i == 0), now);
    const Json::Value rows = report.rows(now);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0]["fast"]["late_first"].asUInt64() == 1);
    CHECK(rows[0]["slow"]["requests"].asUInt64() == 10);
    // One in ten is late where one in twenty may be: a burn rate of 2.
    CHECK(burn_text(rows).find("2.00") != std::string::npos);
    CHECK(burn_text(rows).find("40%") != std::string::npos);
    const Json::Value later = report.rows(now + std::chrono::minutes(10));
    CHECK(later[0]["fast"]["requests"].asUInt64() == 0);
    CHECK(later[0]["slow"]["requests"].asUInt64() == 10);
}

TEST_CASE("reports of several instances add up, and pages escape names")
{
    BurnReport report;
    const TimePoint now{std::chrono::hours(5)};
    report.add(outcome(true), now);
    const Json::Value merged =
        merge_burn_rows({report.rows(now), report.rows(now)});
    REQUIRE(merged.size() == 1);
    CHECK(merged[0]["fast"]["requests"].asUInt64() == 2);
    CHECK(burn_html(merged, Json::Value()).find("cooks&lt;1&gt;") !=
          std::string::npos);
}

TEST_CASE("link use of several instances adds up by store")
{
    const Json::Value one = parse_json(
        R"([{"store": "s", "fetched": 2000000, "bytes_per_second": 5e6}])");
    const Json::Value other = parse_json(
        R"([{"store": "s", "fetched": 1000000, "bytes_per_second": 9e6},
            {"store": "t", "fetched": 0, "bytes_per_second": 1e6}])");
    const Json::Value merged = merge_links({one, other});
    REQUIRE(merged.size() == 2);
    CHECK(merged[0]["fetched"].asUInt64() == 3'000'000);
    CHECK(merged[0]["bytes_per_second"].asDouble() == 9e6);
    CHECK(links_text(merged).find("3.0") != std::string::npos);
}

} // namespace crosslink
