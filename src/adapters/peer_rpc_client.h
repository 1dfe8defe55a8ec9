// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "http_client.h"

#include <crosslink/ports/peer.h>

#include <memory>
#include <mutex>

namespace crosslink
{

class RpcClient;

/// Another entry instance, over JSON-RPC 2.0 on HTTP. Each request carries
/// the fleet's proof. Safe for many threads.
class PeerRpcClient : public Peer
{
public:
    /// `proof` is what peer_proof() returns for the fleet secret.
    PeerRpcClient(const std::string& address, std::string proof,
                  HttpTimeouts timeouts);

    GossipMessage gossip(const GossipMessage& message) override;
    std::vector<ClaimVerdict>
    commit_claims(std::uint32_t slice, std::span<const Claim> claims) override;
    HeldAnswer answer_of(const Digest& key) override;
    std::optional<ConfigurationHead> configuration_head() override;
    std::optional<std::string>
    configuration_part(const Digest& digest) override;
    UpstreamList upstream_list(const Digest& have) override;

    std::uint64_t bytes() const { return m_client.bytes(); }

private:
    /// Whether a connection is kept for the next call.
    enum class Connection { Kept, Fresh };

    Json::Value call(const char* method, const Json::Value& parameters,
                     Connection connection = Connection::Kept);
    std::string carry(const std::string& request, Connection connection);

    HttpClient m_client;
    const std::string m_proof;
};

/// Returns the text that proves knowledge of `fleet_secret` between peers.
std::string peer_proof(std::string_view fleet_secret);

} // namespace crosslink
