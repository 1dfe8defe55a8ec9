// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "admission_gate.h"
#include "caller_server.h"
#include "caller_watch.h"
#include "canceler.h"
#include "claim_handler.h"
#include "configuration_duties.h"
#include "export_duty.h"
#include "gossip_duty.h"
#include "instance_state.h"
#include "peer_server.h"
#include "process_end_probe.h"
#include "request_path.h"
#include "upstream_duties.h"

namespace crosslink
{

/// One entry instance: the shared state, its duties and its two servers.
class EntryInstance
{
public:
    /// Binds both addresses. Throws where one of them can't be bound.
    explicit EntryInstance(const Settings& settings);
    ~EntryInstance();
    EntryInstance(const EntryInstance&) = delete;
    EntryInstance& operator=(const EntryInstance&) = delete;

    std::string caller_address() const { return m_callers.address(); }
    std::string peer_address() const { return m_peers.address(); }

    /// Serves until `stop_asked` returns true, then drains: reports not ready
    /// at once, announces the stop to the peers and the platform, and lets
    /// running answers finish.
    void serve(const std::function<bool()>& stop_asked);

private:
    void await_configuration(const std::function<bool()>& stop_asked);
    void stop();

    InstanceState m_state;
    ClaimHandler m_claim_handler;
    ExportDuty m_exports;
    CallerWatch m_watch;
    Canceler m_canceler;
    RequestPath m_path;
    UpstreamDuties m_upstreams;
    GossipDuty m_gossip;
    ConfigurationDuties m_configuration;
    PeerServer m_peers;
    ProcessEndProbe m_end_probe;
    CallerServer m_callers;
};

} // namespace crosslink
