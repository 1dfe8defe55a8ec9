// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "change_receiver.h"
#include "exchange.h"
#include "exchange_handler.h"
#include "fleet_rpc.h"

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crosslink
{

/// Reports the load that this instance puts on runners to its parent in the
/// fleet's tree, several times a second. The response brings the load of the
/// other instances, changes of the platform's store, which runners load new
/// weights, and where parts of prompts are stored.
class ExchangeDuty
{
public:
    ExchangeDuty(ForwardState& state, Coordinator& coordinator,
                 ExchangeHandler& handler, ChangeReceiver& changes);

private:
    Micros round();
    ExchangeRequest make_request(TimePoint now);
    ExchangeResponse send(const ExchangeRequest& request);
    std::vector<std::string> possible_parents();
    std::string choose_parent(TimePoint now);
    void apply(const ExchangeResponse& response, TimePoint asked);
    void avoid_if_outdated(const ExchangeResponse& response, TimePoint now);
    Micros pause();
    Micros handle_failure(const std::exception& failure);
    void ask_peer_for_coordinator();

    ForwardState& m_state;
    Coordinator& m_coordinator;
    ExchangeHandler& m_handler;
    ChangeReceiver& m_changes;
    std::string m_parent;                  ///< Address; empty for none.
    std::unique_ptr<FleetClient> m_client; ///< To the parent.
    /// Parents that did not answer, or had outdated data, and until when all
    /// others are preferred to them.
    std::map<std::string, TimePoint> m_avoided;
    int m_failures = 0; ///< Consecutive failed exchanges.
    Duty m_duty;
};

} // namespace crosslink
