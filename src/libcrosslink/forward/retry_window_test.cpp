// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/retry_window.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

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

} // namespace crosslink
