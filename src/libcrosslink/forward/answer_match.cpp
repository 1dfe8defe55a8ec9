// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/answer_match.h>

#include <crosslink/ports/call_wire.h>

namespace crosslink
{

AnswerMatch
match_answer(const AnswerHead& head, std::string_view call_id, bool only_call)
{
    if (head.call_id.empty())
        return head.not_run && only_call ? AnswerMatch::ThisCall
                                         : AnswerMatch::NoCall;
    return head.call_id == call_id ? AnswerMatch::ThisCall
                                   : AnswerMatch::EarlierCall;
}

} // namespace crosslink
