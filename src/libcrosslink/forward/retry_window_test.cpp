// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/retry_window.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

namespace crosslink
{

namespace
{

TimePoint
at(std::int64_t millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace

TEST_CASE("retries are bounded and become available again with time")
{
    RetryWindow window({0.2, 10, std::chrono::seconds(10)});
    int granted = 0;
    for (int i = 0; i < 100; ++i)
        granted += window.take("s", 1, at(0)) ? 1 : 0;
    CHECK(granted == 5);
    CHECK(window.take("other", 1, at(0)));
    CHECK_FALSE(window.take("s", 1, at(5000)));
    CHECK(window.take("s", 1, at(11'000)));
}

TEST_CASE("the instances of a fleet together stay in its budget")
{
    CHECK(rc::check("in the budget", [] {
        const RetryRules rules{0.2, 54, std::chrono::seconds(10)};
        const auto instances = *rc::gen::inRange<std::size_t>(1, 12);
        std::vector<RetryWindow> fleet(instances, RetryWindow(rules));
        double calls = 0;
        double repeats = 0;
        const auto steps = *rc::gen::inRange(1, 300);
        for (int i = 0; i < steps; ++i) {
            auto& window = fleet[*rc::gen::inRange<std::size_t>(0, instances)];
            if (*rc::gen::inRange(0, 3) == 0) {
                window.called("s", at(i));
                ++calls;
            } else if (window.take("s", instances, at(i))) {
                ++repeats;
            }
        }
        RC_ASSERT(repeats <= rules.ratio * calls + rules.allowance);
    }));
}

TEST_CASE("copies of calls are off by default")
{
    RetryWindow window({0.2, 1000, std::chrono::seconds(10)});
    for (int i = 0; i < 100; ++i)
        window.called("s", at(0));
    CHECK_FALSE(window.hedges());
    CHECK_FALSE(window.take_hedge("s", 1, at(0)));
}

TEST_CASE("copies of calls use up the retry budget")
{
    RetryWindow window({0, 4, std::chrono::seconds(10), 0.1});
    for (int i = 0; i < 100; ++i)
        window.called("s", at(0));
    CHECK(window.take_hedge("s", 1, at(0)));
    CHECK(window.take("s", 1, at(0)));
    CHECK_FALSE(window.take_hedge("s", 1, at(0)));
    CHECK_FALSE(window.take("s", 1, at(0)));
}

TEST_CASE("a service that refuses calls has no limit left for copies")
{
    RetryWindow window({0.2, 50, std::chrono::seconds(10), 0.1});
    for (int i = 0; i < 20; ++i)
        window.called("s", at(0));
    window.refused("s", at(0));
    CHECK(window.take_hedge("s", 1, at(0)));
    window.refused("s", at(0));
    CHECK_FALSE(window.take_hedge("s", 1, at(0)));
}

TEST_CASE("copies stay within their ratio under any load")
{
    CHECK(rc::check("within the ratio", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        const double ratio = static_cast<double>(random() % 20) / 100;
        RetryWindow window({0.2, 1000, std::chrono::seconds(10), ratio});
        std::vector<std::int64_t> calls;
        std::vector<std::int64_t> copies;
        std::int64_t now = 0;
        const auto longest_gap = 1 + random() % 3000;
        // All that fell into the window, with the slot under way.
        const auto in_window = [&now](const auto& times) {
            return static_cast<double>(
                std::count_if(times.begin(), times.end(), [&now](auto time) {
                    return time / 1000 > now / 1000 - 10;
                }));
        };
        for (int i = 0; i < 1000; ++i) {
            now += random() % 8 == 0 ? random() % longest_gap : 0;
            if (random() % 4 != 0) {
                window.called("s", at(now));
                calls.push_back(now);
            } else if (window.take_hedge("s", 1, at(now))) {
                copies.push_back(now);
                RC_ASSERT(in_window(copies) <= ratio * in_window(calls));
            }
        }
        RC_ASSERT(static_cast<double>(copies.size()) <=
                  ratio * static_cast<double>(calls.size()));
    }));
}

} // namespace crosslink
