// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_path.h"
#include "forward_server.h"
#include "forward_state.h"
#include "kept_locator.h"
#include "path_probe.h"
#include "relay_handler.h"

#include <serve/coordinator/coordinator.h>
#include <serve/fleet/exchange_duty.h>
#include <serve/fleet/feed_duty.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/fleet/origin_duty.h>
#include <serve/fleet/stream_record_duty.h>
#include <serve/process_end_probe.h>

#include <cstdint>
#include <functional>

namespace crosslink
{

/// One instance that forwards calls, with its state, threads and servers.
class ForwardInstance
{
public:
    ForwardInstance(const ForwardSettings& settings, ForwardPorts ports);

    /// Serves until `stop_asked` returns true, then shuts down in steps: it
    /// reports that it is not ready, later stops accepting connections, and
    /// returns once no call is open or the time for a stop is over.
    void serve(const std::function<bool()>& stop_asked);

private:
    void port_checked(const ProbeTarget& port, PortLook look);
    std::uint64_t open_calls() const;
    void stop();

    ForwardState m_state;
    Coordinator m_coordinator;
    CoordinatorLink m_coordinator_link;
    KeptLocator m_kept;
    ForwardPath m_path;
    ChangeReceiver m_changes;
    ExchangeHandler m_exchange_handler;
    RelayHandler m_relay;
    FleetServer m_fleet;
    FeedDuty m_feed;
    ExchangeDuty m_exchange;
    ProcessEndProbe m_end_probe;
    PathProbe m_path_probe;
    OriginDuty m_origins;
    StreamRecordDuty m_stream_record;
    ForwardServer m_server;
};

} // namespace crosslink
