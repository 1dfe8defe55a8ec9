// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/json.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

Json::Value
half(int number)
{
    return number / 2;
}

int
twice(const Json::Value& value)
{
    return value.asInt() * 2;
}

} // namespace

TEST_CASE("a list keeps the order of its items")
{
    CHECK(json_text(json_list(std::vector{4, 2, 6}, half)) == "[2,1,3]");
    CHECK(list_from_json(parse_json("[2,1,3]"), twice) == std::vector{4, 2, 6});
}

TEST_CASE("a list without items is an empty array")
{
    CHECK(json_text(json_list(std::vector<int>(), half)) == "[]");
    CHECK(list_from_json(parse_json("[]"), twice).empty());
}

TEST_CASE("a list that is absent has no items")
{
    const Json::Value object = parse_json("{}");
    CHECK(list_from_json(object["list"], twice).empty());
    CHECK(strings_from_json(object["list"]).empty());
}

TEST_CASE("strings are unchanged after encoding and decoding")
{
    const std::vector<std::string> texts{"b", "", "a"};
    CHECK(json_text(json_strings(texts)) == R"(["b","","a"])");
    CHECK(strings_from_json(json_strings(texts)) == texts);
}

TEST_CASE("a 32-bit number is read, or the fallback is returned")
{
    const Json::Value object =
        parse_json(R"({"n":7,"text":"7","large":4294967297})");
    CHECK(json_uint32(object, "n") == 7);
    CHECK(json_uint32(object, "text", 3) == 3);
    CHECK(json_uint32(object, "none") == 0);
    CHECK(json_uint32(object, "large") == 1);
}

} // namespace crosslink
