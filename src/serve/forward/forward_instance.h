// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_path.h"
#include "forward_server.h"
#include "forward_state.h"
#include "kept_asker.h"

#include <serve/coordinator/coordinator.h>
#include <serve/fleet/exchange_duty.h>
#include <serve/fleet/feed_duty.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/process_end_probe.h>

#include <functional>

namespace crosslink
{

/// One instance that forwards calls: its state, threads and servers.
class ForwardInstance
{
public:
    ForwardInstance(const ForwardSettings& settings, ForwardPorts ports);

    /// Serves until `stop_asked` returns true, then stops in order: no
    /// readiness first, then no new connections, and the end once no call is
    /// open or the time for a stop is over.
    void serve(const std::function<bool()>& stop_asked);

private:
    void looked(const ProbeTarget& port, PortLook look);
    void stop();

    ForwardState m_state;
    Coordinator m_coordinator;
    CoordinatorLink m_coordinator_link;
    KeptAsker m_kept;
    ForwardPath m_path;
    ChangeReceiver m_news;
    ExchangeHandler m_desk;
    FleetServer m_fleet;
    FeedDuty m_feed;
    ExchangeDuty m_exchange;
    ProcessEndProbe m_end_probe;
    ForwardServer m_server;
};

} // namespace crosslink
