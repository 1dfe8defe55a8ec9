// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "caller_link.h"
#include "forward_state.h"
#include "kept_locator.h"

namespace crosslink
{

class Error;
struct ForwardedCall;

/// Handles forwarded calls: finds the route and the account of each, and sends
/// it to a runner.
class ForwardPath
{
public:
    ForwardPath(ForwardState& state, KeptLocator& kept);

    /// Serves one call. The caller gets an answer in every case.
    void serve(const ForwardedCall& call, CallerLink& link);

private:
    void await_configuration();
    void forward(const ForwardedCall& call, CallerLink& link);

    ForwardState& m_state;
    KeptLocator& m_kept;
};

/// Sends the answer for a call that failed with `failure`: its status, its name
/// as the body, and its retry time, if it has one, as Retry-After.
void answer_failure(CallerLink& link, const Error& failure);

} // namespace crosslink
