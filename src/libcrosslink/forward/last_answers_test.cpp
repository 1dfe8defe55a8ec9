// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/last_answers.h>

#include <catch2/catch.hpp>

#include <string>

using namespace crosslink;

namespace
{

TimePoint
at(int millis)
{
    return TimePoint{} + std::chrono::milliseconds(millis);
}

} // namespace

TEST_CASE("the last answer counts, in whatever order answers are told")
{
    LastAnswers times(4);
    CHECK_FALSE(times.last("a"));
    times.answered("a", at(20));
    times.answered("a", at(10));
    CHECK(times.last("a") == at(20));
}

TEST_CASE("keys that are answered again outlast those that are not")
{
    LastAnswers times(4);
    times.answered("shared", at(0));
    for (int i = 1; i < 50; ++i) {
        times.answered("own-" + std::to_string(i), at(i));
        times.answered("shared", at(i));
    }
    CHECK(times.last("shared") == at(49));
    CHECK(times.last("own-49") == at(49));
    CHECK_FALSE(times.last("own-10"));
}
