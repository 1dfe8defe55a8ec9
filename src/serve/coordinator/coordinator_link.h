// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "coordinator.h"

#include <serve/fleet/fleet_rpc.h>
#include <serve/forward/forward_state.h>

#include <memory>
#include <mutex>
#include <string>

namespace crosslink
{

/// The way to whichever instance has the duty: this one, or another one over
/// the network. Safe for many threads.
class CoordinatorLink
{
public:
    CoordinatorLink(ForwardState& state, Coordinator& coordinator);

    /// Calls `ask` with the Coordinator of this process or with a FleetClient;
    /// both have the same calls. Throws Error(LeaseLost) where nobody is known
    /// to have the duty, and what the call throws.
    template<typename Ask> auto with(const Ask& ask)
    {
        if (m_coordinator.may_answer())
            return ask(m_coordinator);
        return ask(*client());
    }

private:
    std::shared_ptr<FleetClient> client();

    ForwardState& m_state;
    Coordinator& m_coordinator;
    std::mutex m_mutex;
    std::string m_address;
    std::shared_ptr<FleetClient> m_client;
};

} // namespace crosslink
