// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "caller.h"
#include "instance_state.h"

#include <crosslink/ports/plain_service.h>

#include <string>

namespace crosslink
{

/// Sends a call to the instances of a plain service: to the next one where the
/// call was certainly not run, or where it may run again.
class PlainCalls
{
public:
    explicit PlainCalls(InstanceState& state) : m_state(state) {}

    /// Returns the whole answer. `repeatable` allows another try after a
    /// failure that leaves open whether the call ran. Throws Error whose
    /// run_state() holds for all tries together.
    PlainAnswer run(const std::string& service, const std::string& account,
                    const PlainCall& call, bool repeatable);

private:
    void throw_if_refused(const PlainAnswer& answer,
                          const std::string& address);
    Micros retry_delay_for(const std::string& service);

    InstanceState& m_state;
};

/// Returns the call that goes out for a caller's request: the caller's key to
/// crosslink stays here.
PlainCall plain_call_of(const CallerRequest& request,
                        const std::string& account);

/// True for the methods that RFC 9110 calls idempotent.
bool is_idempotent_method(std::string_view method);

} // namespace crosslink
