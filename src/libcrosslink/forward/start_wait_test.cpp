// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/start_wait.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

Micros
millis(int count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

TEST_CASE("a call waits for what a fresh instance is about to learn")
{
    CHECK(wait_for_configuration(millis(0)) > millis(0));
    CHECK(wait_for_directory(millis(100), millis(500)) == millis(300));
    CHECK(wait_for_directory(millis(100), millis(0)) == millis(0));
}

TEST_CASE("no call waits long after the start, or for most of its time")
{
    CHECK(wait_for_configuration(millis(1400)) == millis(100));
    CHECK(wait_for_configuration(millis(1500)) == millis(0));
    CHECK(wait_for_directory(millis(1400), millis(5000)) == millis(100));
    CHECK(wait_for_directory(millis(60'000), millis(500)) == millis(0));
    for (int objective = 100; objective < 2000; objective += 100)
        CHECK(wait_for_directory(millis(0), millis(objective)) <
              millis(objective));
}

} // namespace crosslink
