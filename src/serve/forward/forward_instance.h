// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_path.h"
#include "forward_server.h"
#include "forward_state.h"
#include "kept_asker.h"

#include <serve/end_looks.h>
#include <serve/fleet/exchange_duty.h>
#include <serve/fleet/feed_duty.h>
#include <serve/fleet/fleet_calls.h>
#include <serve/steward/steward.h>

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
    void looked(const PortToLookAt& port, PortLook look);
    void stop();

    ForwardState m_state;
    Steward m_steward;
    StewardLink m_steward_link;
    KeptAsker m_kept;
    ForwardPath m_path;
    NewsIntake m_news;
    ExchangeDesk m_desk;
    FleetServer m_fleet;
    FeedDuty m_feed;
    ExchangeDuty m_exchange;
    EndLooks m_looks;
    ForwardServer m_server;
};

} // namespace crosslink
