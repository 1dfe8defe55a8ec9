// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "claim_handler.h"
#include "gossip_duty.h"
#include "instance_state.h"
#include "request_path.h"

#include <adapters/http_server.h>

#include <memory>

namespace crosslink
{

class RpcServer;

/// Serves peers (JSON-RPC 2.0) and operators (/status, /report). Every request
/// must carry the proof of knowing the fleet's secret.
class PeerServer
{
public:
    /// Binds the peer address and starts to serve. All arguments must outlive
    /// this object.
    PeerServer(InstanceState& state, ClaimHandler& claim_handler,
               GossipDuty& gossip, AdmissionGate& gate);
    ~PeerServer();

    std::string address() const { return m_server->address(); }

private:
    void handle(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& answer);
    void add_methods(GossipDuty& gossip);
    Json::Value status() const;

    InstanceState& m_state;
    const std::string m_proof;
    std::unique_ptr<RpcServer> m_rpc;
    AdmissionGate& m_gate;
    ClaimHandler& m_claim_handler;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace crosslink
