// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string_view>

namespace crosslink
{

struct AnswerHead;

/// To which call an answer belongs that came on the connection of a call.
enum class AnswerMatch {
    ThisCall,
    EarlierCall, ///< It names another one: it came late.
    NoCall,      ///< It proves nothing; its connection can't be used further.
};

/// Returns to which call an answer belongs that came on the connection of the
/// call `call_id`. Answers name their call. One that names none is believed
/// where it is a refusal and the call is the only one that was ever sent on the
/// connection, as `only_call` tells.
AnswerMatch match_answer(const AnswerHead& head, std::string_view call_id,
                         bool only_call);

} // namespace crosslink
