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

TEST_CASE("a call waits for the configuration of a new instance")
{
    CHECK(wait_for_configuration(millis(0)) == millis(400));
    CHECK(wait_for_configuration(millis(1400)) == millis(100));
}

TEST_CASE("no call waits long after the start")
{
    CHECK(wait_for_configuration(millis(1500)) == millis(0));
    CHECK(wait_for_configuration(millis(60'000)) == millis(0));
}

} // namespace crosslink
