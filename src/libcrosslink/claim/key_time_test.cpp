// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/claim/key_time.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("the time of a key is read from a UUID of version 7")
{
    // The example of RFC 9562, appendix A.6.
    CHECK(key_time_of("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
          UnixMillis{0x017F22E279B0});
}

TEST_CASE("other keys carry no time")
{
    CHECK_FALSE(key_time_of("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(key_time_of("order-17"));
    CHECK_FALSE(key_time_of("017F22E2-79B0-7CC3-98C4-DC0C0C07398G"));
    CHECK_FALSE(key_time_of(""));
}

} // namespace crosslink
