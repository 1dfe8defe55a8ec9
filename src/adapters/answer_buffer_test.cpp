// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "answer_buffer.h"

#include <crosslink/base/error.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("an answer is held up to its limit")
{
    AnswerBuffer buffer(4);
    buffer.add("ab");
    buffer.add("cd");
    try {
        buffer.add("e");
        FAIL("it takes more than its limit");
    } catch (const Error& failure) {
        CHECK(failure.code() == ErrorCode::AnswerTooLarge);
    }
    CHECK(buffer.take_all() == "abcd");
    CHECK(buffer.take_all().empty());
}

TEST_CASE("the limit of an answer in lines is that of one line")
{
    AnswerBuffer buffer(4);
    std::string line;
    for (int count = 0; count < 10; ++count) {
        buffer.add("abc\n");
        REQUIRE(buffer.take_line(line));
        CHECK(line == "abc");
    }
    buffer.add("abcd");
    CHECK_FALSE(buffer.take_line(line));
    CHECK_THROWS_AS(buffer.add("e"), Error);
}

} // namespace crosslink
