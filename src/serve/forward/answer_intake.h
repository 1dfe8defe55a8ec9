// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/ports/call_wire.h>

namespace crosslink
{

struct ForwardState;
struct RunnerPick;

/// Applies what the answers to one call report about the runners that sent
/// them. Everything that answers say about runners enters the state of this
/// instance here.
class AnswerIntake
{
public:
    /// `state` and `call` must outlive this object.
    AnswerIntake(ForwardState& state, const ForwardedCall& call);

    /// Applies the head of an answer to the call, whatever its status, that
    /// arrived on the connection to `runner`.
    void apply(const AnswerHead& head, const RunnerPick& runner);
    /// As apply(), for an answer to an earlier call on that connection. Its
    /// limit and weights are ignored: they may be older than the known ones.
    void apply_surplus(const AnswerHead& head, const RunnerPick& runner);

private:
    void apply_limit(const AnswerHead& head, const RunnerPick& runner);
    void apply_bearable_refusals(const AnswerHead& head,
                                 const RunnerPick& runner);
    void apply_leaving(const AnswerHead& head, const RunnerPick& runner);
    void apply_backoff(const AnswerHead& head, const RunnerPick& runner);
    void apply_weights(const AnswerHead& head, const RunnerPick& runner);
    void log_unreadable(const char* word, const RunnerPick& runner) const;

    ForwardState& m_state;
    const ForwardedCall& m_call;
};

} // namespace crosslink
