// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "change_receiver.h"
#include "exchange.h"

#include <serve/coordinator/coordinator.h>
#include <serve/forward/forward_state.h>
#include <serve/guarded.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/load_aggregator.h>
#include <crosslink/membership/child_admission.h>

#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Handles the exchange requests of other instances. Answers as the
/// coordinator, or else with the last response of this instance's own parent in
/// the fleet's tree and the load of all instances that ask this one.
/// Thread-safe.
class ExchangeHandler
{
public:
    ExchangeHandler(ForwardState& state, Coordinator& coordinator,
                    ChangeReceiver& changes);

    /// Applies the report of an instance, and returns the state of the fleet
    /// for it. Throws Error(LeaseLost), or Error(PeerUnavailable) if too many
    /// others poll this instance.
    ExchangeResponse exchange(const ExchangeRequest& request);
    /// Returns, by runner, the load of this instance and of all instances that
    /// ask it.
    std::map<std::string, RunnerLoad> subtree_load(TimePoint now);
    /// As subtree_load(), for what accounts got of services.
    AccountUsages subtree_usage(TimePoint now);
    /// As subtree_load(), for the speed of runners.
    SpeedReport subtree_speed(TimePoint now);
    /// Stores the parent's response to a request that was sent at `asked`.
    void store_parent_response(const ExchangeResponse& response,
                               TimePoint asked);
    /// Returns the age at `now` of the coordinator's data; 0 at the coordinator
    /// itself, and very large before the first response.
    Micros age(TimePoint now);

private:
    /// The last response of the parent.
    struct ParentResponse {
        ExchangeResponse response;
        TimePoint sent_at{}; ///< When the coordinator sent its data.
    };

    void require_admission(const ExchangeRequest& request, TimePoint now);
    void limit_load(ExchangeResponse& response, std::string_view zone);
    AccountUsages exchange_usage(const ExchangeRequest& request, TimePoint now);
    SpeedReport exchange_speed(const ExchangeRequest& request, TimePoint now);
    ExchangeResponse forward_parent_response(const ExchangeRequest& request,
                                             TimePoint now);

    ForwardState& m_state;
    Coordinator& m_coordinator;
    ChangeReceiver& m_changes;
    Guarded<ChildAdmission> m_admission;
    Guarded<LoadAggregator> m_children;
    Guarded<UsageAggregator> m_child_usage;
    Guarded<SpeedAggregator> m_child_speeds;
    Guarded<ParentResponse> m_parent_response;
};

} // namespace crosslink
