// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "claim_handler.h"
#include "instance_state.h"

#include <crosslink/claim/claim.h>
#include <crosslink/configuration/client_account.h>
#include <crosslink/ports/plain_service.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// Identifies a call that may run at most once.
struct AtMostOnceCall {
    const ClientAccount* account = nullptr;
    std::string service; ///< Plain service or model.
    std::string idempotency_key;
    Digest fingerprint; ///< SHA-256 of method, path and body.
};

/// Runs calls that may run at most once. The claim on the idempotency key is
/// committed before the dispatch; a retry with the same key gets the cached
/// answer or a typed error, and never runs the call a second time.
class AtMostOnceRunner
{
public:
    /// Dispatches the call and returns its complete answer.
    using Dispatch = std::function<PlainAnswer()>;

    AtMostOnceRunner(InstanceState& state, ClaimHandler& claim_handler);

    struct Result {
        PlainAnswer answer;
        bool replayed = false; ///< The answer is the cached one.
    };
    /// Runs `call`, or returns the cached answer of an earlier run. Throws
    /// Error. Where `dispatch` throws before the call may have run, the claim
    /// is released and the error is thrown again; where the call may have run,
    /// the claim stays and ClaimOutcomeUnknown is thrown instead.
    Result run(const AtMostOnceCall& call, const Dispatch& dispatch);

private:
    Claim make_claim(const AtMostOnceCall& call) const;
    Result replay(const AtMostOnceCall& call, const Claim& claim,
                  const std::string& holder);

    InstanceState& m_state;
    ClaimHandler& m_claim_handler;
};

} // namespace crosslink
