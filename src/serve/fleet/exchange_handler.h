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

#include <map>
#include <string>

namespace crosslink
{

/// Answers the instances that ask this one: as the holder of the duty, or with
/// what the own parent in the fleet's tree told, and the load of all that ask
/// here. Safe for many threads.
class ExchangeHandler
{
public:
    ExchangeHandler(ForwardState& state, Coordinator& coordinator,
                    ChangeReceiver& news);

    /// Takes in what an instance tells of itself, and returns what it needs to
    /// know of the fleet. Throws Error(LeaseLost).
    ExchangeResponse exchange(const ExchangeRequest& request);
    /// Returns the load that the instances which ask here give to runners, and
    /// this one's own.
    std::map<std::string, RunnerLoad> group_load(TimePoint now);
    /// Takes in what the parent answered to a question of `asked`.
    void parent_told(const ExchangeResponse& response, TimePoint asked);
    /// Returns the age at `now` of what the holder told; large before that.
    Micros age(TimePoint now);

private:
    /// What the parent told last.
    struct Told {
        ExchangeResponse response;
        TimePoint at{}; ///< As of when the holder told it.
    };

    ExchangeResponse handed_on(const ExchangeRequest& request, TimePoint now);

    ForwardState& m_state;
    Coordinator& m_coordinator;
    ChangeReceiver& m_news;
    Guarded<LoadAggregator> m_children;
    Guarded<Told> m_told;
};

} // namespace crosslink
