// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "coordinator_link.h"

#include <crosslink/base/error.h>

namespace crosslink
{

CoordinatorLink::CoordinatorLink(ForwardState& state, Coordinator& coordinator)
    : m_state(state), m_coordinator(coordinator)
{
}

std::string
CoordinatorLink::address() const
{
    if (m_coordinator.may_answer())
        return m_state.settings.peer_address();
    return holder_address();
}

std::string
CoordinatorLink::holder_address() const
{
    return m_state.fleet.with(
        [](FleetView& view) { return view.coordinator_address(); });
}

std::shared_ptr<FleetClient>
CoordinatorLink::client()
{
    const std::string address = holder_address();
    if (address.empty())
        throw Error(ErrorCode::LeaseLost,
                    "no instance is known to hold the duty");
    const std::lock_guard lock(m_mutex);
    if (address != m_address) {
        m_address = address;
        m_client = std::make_shared<FleetClient>(address);
    }
    return m_client;
}

} // namespace crosslink
