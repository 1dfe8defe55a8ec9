// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/number.h>

#include <catch2/catch.hpp>

#include <cstdint>

namespace crosslink
{

TEST_CASE("a number is read from the beginning of a text")
{
    CHECK(parse_leading_integer<std::uint64_t>("17") == 17);
    CHECK(parse_leading_integer<std::uint64_t>("17, max=5") == 17);
    CHECK(parse_leading_integer<std::int64_t>("-3") == -3);
    CHECK_FALSE(parse_leading_integer<std::uint64_t>("-3"));
    CHECK_FALSE(parse_leading_integer<std::uint64_t>(""));
    CHECK_FALSE(parse_leading_integer<std::uint64_t>("x1"));
    CHECK_FALSE(parse_leading_integer<std::uint64_t>(" 1"));
    CHECK_FALSE(parse_leading_integer<std::uint64_t>("+1"));
}

TEST_CASE("a whole text is a number, or it is none")
{
    CHECK(parse_integer<std::uint64_t>("17") == 17);
    CHECK(parse_integer<std::uint64_t>("0017") == 17);
    CHECK_FALSE(parse_integer<std::uint64_t>("17 "));
    CHECK_FALSE(parse_integer<std::uint64_t>("1x"));
    CHECK_FALSE(parse_integer<std::uint64_t>(""));
}

TEST_CASE("a number that does not fit is none")
{
    CHECK(parse_integer<std::uint32_t>("4294967295") == 4'294'967'295U);
    CHECK_FALSE(parse_integer<std::uint32_t>("4294967296"));
    CHECK_FALSE(parse_leading_integer<std::uint32_t>("4294967296 "));
}

TEST_CASE("leading spaces are removed")
{
    CHECK(without_leading_spaces("  a b ") == "a b ");
    CHECK(without_leading_spaces("  ").empty());
    CHECK(without_leading_spaces("\ta") == "\ta");
}

TEST_CASE("a decimal number is finite and not negative")
{
    CHECK(decimal_number("1.5") == 1.5);
    CHECK(decimal_number("0") == 0);
    CHECK(decimal_number("120") == 120);
    for (const char* text :
         {"", "x", "-1", "+1", "1.5x", "1,5", "nan", "inf", "1e300", " 1"})
        CHECK_FALSE(decimal_number(text));
}

} // namespace crosslink
