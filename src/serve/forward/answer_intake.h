// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/ports/call_wire.h>

namespace crosslink
{

struct ForwardState;
struct RunnerPick;

/// Takes in what the answers to one call say of the runners that made them: the
/// one place where such words go from the wire to what this instance knows.
class AnswerIntake
{
public:
    /// Both outlive it.
    AnswerIntake(ForwardState& state, const ForwardedCall& call);

    /// Takes in the head of the answer to the call, whatever its status, that
    /// came on the connection to `runner`.
    void take(const AnswerHead& head, const RunnerPick& runner);
    /// As take(), of an answer to an earlier call on that connection: it may be
    /// older than what is known of limits and weights.
    void take_surplus(const AnswerHead& head, const RunnerPick& runner);

private:
    void take_limit(const AnswerHead& head, const RunnerPick& runner);
    void take_leaving(const AnswerHead& head, const RunnerPick& runner);
    void take_backoff(const AnswerHead& head, const RunnerPick& runner);
    void take_weights(const AnswerHead& head, const RunnerPick& runner);
    void unreadable(const char* word, const RunnerPick& runner) const;

    ForwardState& m_state;
    const ForwardedCall& m_call;
};

} // namespace crosslink
