// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crosslink
{

/// Decides when an instance asks the holder of the duty where the parts of a
/// prompt are kept. From the second failure in a row on, the pauses between two
/// questions grow with the number of instances: a holder that all instances ask
/// in vain gets no more questions a second in a large fleet than in a small
/// one, and has time to recover.
class QuestionPacing
{
public:
    /// Returns whether to ask the holder at the address `holder` at `now`. A
    /// new holder is asked at once; an empty address never.
    bool may_ask(std::string_view holder, TimePoint now);
    /// Records that a question asked at `asked` was answered.
    void answered(TimePoint asked);
    /// Records that a question asked at `asked` failed, in a fleet of
    /// `instances`; `random` are random bits.
    void failed(TimePoint asked, std::size_t instances, std::uint64_t random);

private:
    std::string m_holder;
    int m_failures = 0;    ///< In a row.
    TimePoint m_next_at{}; ///< No question before this time.
};

} // namespace crosslink
