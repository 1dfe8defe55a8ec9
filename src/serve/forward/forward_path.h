// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "caller_link.h"
#include "forward_state.h"
#include "kept_asker.h"

namespace crosslink
{

class Error;
struct ForwardedCall;

/// The way of one forwarded call: route, account, runner, answer.
class ForwardPath
{
public:
    ForwardPath(ForwardState& state, KeptAsker& kept);

    /// Serves one call, and answers the caller in every case.
    void serve(const ForwardedCall& call, CallerLink& link);

private:
    void await_configuration();
    void forward(const ForwardedCall& call, CallerLink& link);

    ForwardState& m_state;
    KeptAsker& m_kept;
};

/// Answers a call that failed, with when to come back where it did not run.
void answer_failure(CallerLink& link, const Error& failure);

} // namespace crosslink
