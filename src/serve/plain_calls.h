// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "caller.h"
#include "instance_state.h"

#include <crosslink/ports/plain_service.h>

#include <string>

namespace crosslink
{

/// Sends calls to the upstreams of a plain service. Tries the next upstream
/// where the call certainly did not run, or where it may be repeated.
class PlainCalls
{
public:
    explicit PlainCalls(InstanceState& state) : m_state(state) {}

    /// Returns the complete answer. `repeatable` allows another attempt after a
    /// failure that leaves unknown whether the call ran. Throws Error whose
    /// run_state() holds for all attempts together.
    PlainAnswer run(const std::string& service, const std::string& account,
                    const PlainCall& call, bool repeatable);

private:
    void throw_if_refused(const PlainAnswer& answer,
                          const std::string& address);
    Micros retry_delay_for(const std::string& service);

    InstanceState& m_state;
};

/// Returns the call to send for a caller's request. The caller's API key for
/// crosslink is not passed on.
PlainCall plain_call_of(const CallerRequest& request,
                        const std::string& account);

/// True for the methods that RFC 9110 calls idempotent.
bool is_idempotent_method(std::string_view method);

} // namespace crosslink
