// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "packed_text.h"

#include <crosslink/base/error.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

namespace crosslink
{

namespace
{

constexpr std::size_t most_bytes = 1U << 20U;

} // namespace

TEST_CASE("a packed text is unpacked as it was")
{
    CHECK(rc::check([](const std::string& text) {
        RC_PRE(!text.empty());
        RC_ASSERT(unpack_text(pack_text(text), most_bytes) == text);
    }));
}

TEST_CASE("a text that repeats itself becomes much shorter")
{
    std::string text;
    for (int i = 0; i < 10'000; ++i)
        text += "[\"servers/i-" + std::to_string(i) + "\", \"ready\"]";
    const std::string packed = pack_text(text);
    CHECK(packed.size() * 4 < text.size());
    CHECK(unpack_text(packed, most_bytes) == text);
    CHECK_THROWS_AS(unpack_text(packed, text.size() / 2), Error);
}

TEST_CASE("what is no packed text is refused")
{
    const std::string packed = pack_text("a text");
    CHECK_THROWS_AS(unpack_text("", most_bytes), Error);
    CHECK_THROWS_AS(unpack_text("no base64 %%", most_bytes), Error);
    CHECK_THROWS_AS(unpack_text("AAAA" + packed, most_bytes), Error);
}

} // namespace crosslink
