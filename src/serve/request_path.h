// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "admission_gate.h"
#include "at_most_once_runner.h"
#include "caller.h"
#include "claim_handler.h"
#include "completion_run.h"
#include "instance_state.h"
#include "plain_calls.h"

#include <string_view>

namespace crosslink
{

/// Serves the requests of callers. The steps of a request, in order:
/// authenticate, admit, claim, route, fetch kept KV, dispatch, relay, record
/// the outcome.
class RequestPath
{
public:
    RequestPath(InstanceState& state, ClaimHandler& claim_handler,
                RunDuties duties);

    /// Serves one request of a caller. Throws Error where it fails. Where a
    /// stream has begun, the error event is sent before the Error is thrown.
    void serve(const CallerRequest& request, CallerReply& reply);

    AdmissionGate& gate() { return m_gate; }

private:
    using ConfigurationPtr = ConfigurationState::ConfigurationPtr;

    void serve_models(const ClientAccount& account, CallerReply& reply);
    void serve_completion(const ClientAccount& account,
                          const CallerRequest& request, CallerReply& reply,
                          bool chat);
    void serve_plain(const ClientAccount& account, const CallerRequest& request,
                     CallerReply& reply);
    void serve_from_old_fleet(const TrafficSplit& split,
                              const ClientAccount& account,
                              const CallerRequest& request, CallerReply& reply);
    /// `marked_not_repeatable`: the template says that the call may not be
    /// repeated.
    void call_plain(const std::string& service, const ClientAccount& account,
                    const CallerRequest& request, CallerReply& reply,
                    bool marked_not_repeatable);
    PlainAnswer run_completion(const CompletionCall& call,
                               const CallerRequest& request,
                               CallerReply& reply);
    PlainAnswer relay_completion(CompletionRun& run, const CompletionCall& call,
                                 CallerReply& reply);
    void record_outcome(const CompletionRun& run, const CompletionCall& call,
                        const CallerRequest& request);

    InstanceState& m_state;
    AtMostOnceRunner m_at_most_once;
    PlainCalls m_plain;
    AdmissionGate m_gate;
    RunDuties m_duties;
};

} // namespace crosslink
