// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "single_fields.h"

#include <catch2/catch.hpp>

#include <array>
#include <string_view>

using namespace crosslink;

TEST_CASE("a field that may stand once is told where it stands twice")
{
    const SingleFields fields;
    CHECK(fields.repeated_in({{"Host", "a"}, {"A", "b"}, {"hOST", "a"}}) ==
          "hOST");
    CHECK_FALSE(fields.repeated_in({{"Host", "a"}, {"Content-Type", "b"}}));
    CHECK_FALSE(fields.repeated_in({}));
}

TEST_CASE("other fields may be repeated")
{
    const SingleFields fields;
    CHECK_FALSE(fields.repeated_in({{"Via", "a"}, {"Via", "b"}}));
    CHECK_FALSE(fields.repeated_in({{"X-Id", "a"}, {"X-Id", "a"}}));
}

TEST_CASE("names that were added may stand once")
{
    SingleFields fields;
    const std::array<std::string_view, 2> names{"X-Id", "X-Id"};
    fields.add(names);
    CHECK(fields.repeated_in({{"X-Id", "a"}, {"x-id", "a"}}));
    CHECK(fields.repeated_in({{"Host", "a"}, {"Host", "a"}}));
    CHECK_FALSE(
        SingleFields::of_http().repeated_in({{"X-Id", "a"}, {"X-Id", "a"}}));
}
