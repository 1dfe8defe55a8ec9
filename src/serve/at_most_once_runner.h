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

/// What an unrepeatable call is known by.
struct AtMostOnceCall {
    const ClientAccount* account = nullptr;
    std::string service; ///< Plain service or model.
    std::string idempotency_key;
    Digest fingerprint; ///< SHA-256 of method, path and body.
};

/// Runs calls that may run at most once: the claim is committed before the
/// dispatch, and a retry gets the kept answer or a typed error, never a rerun.
class AtMostOnceRunner
{
public:
    /// Dispatches the call, and returns its whole answer.
    using Dispatch = std::function<PlainAnswer()>;

    AtMostOnceRunner(InstanceState& state, ClaimHandler& claim_handler);

    /// Returns the answer, and whether it is a kept one. Throws Error; those
    /// from `dispatch` pass through after the claim was settled.
    struct Result {
        PlainAnswer answer;
        bool replayed = false;
    };
    Result run(const AtMostOnceCall& call, const Dispatch& dispatch);

private:
    Claim make_claim(const AtMostOnceCall& call) const;
    Result replay(const AtMostOnceCall& call, const Claim& claim,
                  const std::string& holder);

    InstanceState& m_state;
    ClaimHandler& m_claim_handler;
};

} // namespace crosslink
