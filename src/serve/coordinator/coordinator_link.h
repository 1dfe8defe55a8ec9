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

/// Sends requests to the instance that holds the coordinator duty: this one, or
/// another one over the network. Thread-safe.
class CoordinatorLink
{
public:
    CoordinatorLink(ForwardState& state, Coordinator& coordinator);

    /// Returns the address of the instance that with() asks; empty if no holder
    /// of the duty is known.
    std::string address() const;
    /// Calls `ask` with the Coordinator of this process or with a FleetClient,
    /// which have the same member functions, and returns its result. Throws
    /// Error(LeaseLost) if no holder of the duty is known, and whatever `ask`
    /// throws.
    template<typename Ask> auto with(const Ask& ask)
    {
        if (m_coordinator.may_answer())
            return ask(m_coordinator);
        return ask(*client());
    }

private:
    std::string holder_address() const;
    std::shared_ptr<FleetClient> client();

    ForwardState& m_state;
    Coordinator& m_coordinator;
    std::mutex m_mutex;
    std::string m_address;
    std::shared_ptr<FleetClient> m_client;
};

} // namespace crosslink
