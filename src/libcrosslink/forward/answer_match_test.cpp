// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/answer_match.h>
#include <crosslink/ports/call_wire.h>

#include <catch2/catch.hpp>

using namespace crosslink;

namespace
{

AnswerHead
answer(const std::string& call_id, bool not_run = false)
{
    AnswerHead head;
    head.call_id = call_id;
    head.not_run = not_run;
    return head;
}

} // namespace

TEST_CASE("an answer belongs to the call that it names")
{
    for (const bool only_call : {true, false})
        for (const bool not_run : {true, false}) {
            CHECK(match_answer(answer("a", not_run), "a", only_call) ==
                  AnswerMatch::ThisCall);
            CHECK(match_answer(answer("b", not_run), "a", only_call) ==
                  AnswerMatch::EarlierCall);
        }
}

TEST_CASE("an answer that names no call belongs to none")
{
    CHECK(match_answer(answer(""), "a", false) == AnswerMatch::NoCall);
    CHECK(match_answer(answer(""), "a", true) == AnswerMatch::NoCall);
    CHECK(match_answer(answer("", true), "a", false) == AnswerMatch::NoCall);
}

TEST_CASE("a refusal that names no call counts where there was one call only")
{
    CHECK(match_answer(answer("", true), "a", true) == AnswerMatch::ThisCall);
}
