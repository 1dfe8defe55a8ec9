// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "steward.h"

#include <serve/fleet/fleet_calls.h>
#include <serve/forward/forward_state.h>

#include <memory>
#include <mutex>
#include <string>

namespace crosslink
{

/// The way to whichever instance has the duty: this one, or another one over
/// the network. Safe for many threads.
class StewardLink
{
public:
    StewardLink(ForwardState& state, Steward& steward);

    /// Calls `ask` with the Steward of this process or with a FleetClient;
    /// both have the same calls. Throws Error(LeaseLost) where nobody is known
    /// to have the duty, and what the call throws.
    template<typename Ask> auto with(const Ask& ask)
    {
        if (m_steward.answers())
            return ask(m_steward);
        return ask(*client());
    }

private:
    std::shared_ptr<FleetClient> client();

    ForwardState& m_state;
    Steward& m_steward;
    std::mutex m_mutex;
    std::string m_address;
    std::shared_ptr<FleetClient> m_client;
};

} // namespace crosslink
