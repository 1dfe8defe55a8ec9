// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "head_decoder.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace crosslink;

namespace
{

/// Returns how many bytes of `text` the decoder took.
std::size_t
taken(HeadDecoder& head, std::string_view text)
{
    std::size_t count = 0;
    for (const char byte : text) {
        if (head.is_ended())
            break;
        head.take(byte);
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a head ends with its first empty line")
{
    for (const std::string text :
         {"GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "\r\n",
          "GET / HTTP/1.1\nA: b\n\n", "\n", "a\r\r\n\r\n"}) {
        HeadDecoder head;
        CHECK(taken(head, text + "rest\r\n\r\n") == text.size());
        CHECK(head.is_done());
        CHECK(head.bytes() == text);
    }
}

// Regression: a line of 4,092 bytes was taken for the end of its head.
TEST_CASE("a line of any length is no end of a head")
{
    constexpr std::size_t most = 8400;
    for (std::size_t length = 0; length < most; ++length) {
        const std::string text =
            "GET / HTTP/1.1\r\nA:" + std::string(length, 'x') + "\r\n\r\n";
        HeadDecoder head;
        REQUIRE(taken(head, text) == text.size());
        REQUIRE(head.is_done());
    }
}

TEST_CASE("a head is too long beyond the maximum")
{
    HeadDecoder head;
    const std::string text(HeadDecoder::max_bytes + 1, 'x');
    CHECK(taken(head, text) == HeadDecoder::max_bytes);
    CHECK(head.is_too_long());
    CHECK_FALSE(head.is_done());
}
