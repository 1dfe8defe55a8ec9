// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_key.h>
#include <crosslink/forward/request_digest.h>

#include <catch2/catch.hpp>

#include <array>

using namespace crosslink;

TEST_CASE("accounts share the key of a part, but for isolated ones")
{
    CHECK(part_crash_key("aa", "") == part_crash_key("aa", ""));
    CHECK(part_crash_key("aa", "") != part_crash_key("ab", ""));
    CHECK(part_crash_key("aa", "") != part_crash_key("aa", "alone"));
    CHECK(part_crash_key("aa", "one") != part_crash_key("aa", "two"));
    CHECK(part_crash_key("aa", "b") != part_crash_key("aab", ""));
}

TEST_CASE("the key of a part is told from the digest of a request")
{
    const std::array<std::string_view, 2> texts{"aa", ""};
    CHECK(is_part_key(part_crash_key("aa", "")));
    CHECK_FALSE(is_part_key(digest_of_parts(texts)));
    CHECK_FALSE(is_part_key(""));
}
