// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/body_budget.h>

#include <catch2/catch.hpp>

#include <limits>
#include <thread>
#include <vector>

namespace crosslink
{

TEST_CASE("a budget grants what is left, and gets it back")
{
    BodyBudget budget(100);
    {
        HeldBytes one(budget);
        CHECK(one.add(60));
        HeldBytes other(budget);
        CHECK_FALSE(other.add(41));
        CHECK(other.add(40));
        CHECK_FALSE(one.add(1));
        CHECK(budget.held() == 100);
    }
    CHECK(budget.held() == 0);
    CHECK(budget.peak() == 100);
    CHECK_FALSE(budget.take(std::numeric_limits<std::uint64_t>::max()));
    CHECK(budget.held() == 0);
}

TEST_CASE("calls that take and return at once never exceed the budget")
{
    constexpr std::uint64_t limit = 1000;
    constexpr int rounds = 2000;
    BodyBudget budget(limit);
    std::vector<std::thread> calls;
    for (std::uint64_t i = 0; i < 4; ++i)
        calls.emplace_back([&budget, i] {
            for (int round = 0; round < rounds; ++round) {
                HeldBytes held(budget);
                held.add(300 + i);
            }
        });
    for (std::thread& call : calls)
        call.join();
    CHECK(budget.held() == 0);
    CHECK(budget.peak() <= limit);
}

} // namespace crosslink
