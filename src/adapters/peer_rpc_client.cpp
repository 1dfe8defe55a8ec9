// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "peer_rpc_client.h"

#include "peer_wire.h"

#include <peer_rpc/rpc.h>

#include <crosslink/base/digest.h>
#include <crosslink/base/error.h>

namespace crosslink
{

namespace
{

constexpr int success = 200;
/// The largest answers are whole configuration parts and answers of calls.
constexpr AnswerLimit answer_limit{16U << 20U};

} // namespace

std::string
peer_proof(std::string_view fleet_secret)
{
    return hmac_sha256(fleet_secret, "crosslink peer").hex();
}

PeerRpcClient::PeerRpcClient(const std::string& address, std::string proof,
                             HttpTimeouts timeouts)
    : m_client(address, timeouts, answer_limit), m_proof(std::move(proof))
{
}

std::string
PeerRpcClient::carry(const std::string& request, Connection connection)
{
    HttpRequest http;
    http.path = wire::peer_path;
    http.headers.push_back({"Content-Type", "application/json"});
    http.headers.push_back({wire::peer_proof_header, m_proof});
    http.body = request;
    const HttpAnswer answer =
        m_client.exchange(http, connection == Connection::Fresh);
    if (answer.status != success)
        throw Error(ErrorCode::PeerRefused, m_client.address() + " answered " +
                                                std::to_string(answer.status));
    return answer.body;
}

Json::Value
PeerRpcClient::call(const char* method, const Json::Value& parameters,
                    Connection connection)
{
    try {
        RpcClient client([this, connection](const std::string& request) {
            return carry(request, connection);
        });
        return client.call(method, parameters);
    } catch (const RpcError& failure) {
        throw Error(ErrorCode::PeerUnavailable, failure.what(),
                    RunState::MayHaveRun);
    } catch (const Error& failure) {
        throw Error(ErrorCode::PeerUnavailable, failure.what(),
                    failure.run_state());
    }
}

GossipMessage
PeerRpcClient::gossip(const GossipMessage& message)
{
    // Each exchange goes to another member: kept connections would pile up at
    // both ends, one for each member of the fleet.
    return wire::gossip_from_json(call(wire::peer_method::gossip,
                                       wire::gossip_to_json(message),
                                       Connection::Fresh));
}

std::vector<ClaimVerdict>
PeerRpcClient::commit_claims(std::uint32_t slice, std::span<const Claim> claims)
{
    Json::Value parameters;
    parameters["slice"] = slice;
    parameters["claims"] = wire::claims_to_json(claims);
    const Json::Value answer =
        call(wire::peer_method::commit_claims, parameters);
    auto verdicts = wire::verdicts_from_json(answer["verdicts"]);
    if (verdicts.size() != claims.size())
        throw Error(ErrorCode::PeerUnavailable, "not one verdict per claim",
                    RunState::MayHaveRun);
    return verdicts;
}

HeldAnswer
PeerRpcClient::answer_of(const Digest& key)
{
    Json::Value parameters;
    parameters["key"] = key.hex();
    return wire::answer_from_json(
        call(wire::peer_method::answer_of, parameters));
}

std::optional<ConfigurationHead>
PeerRpcClient::configuration_head()
{
    const Json::Value nothing(Json::objectValue);
    const Json::Value answer =
        call(wire::peer_method::configuration_head, nothing);
    const std::string text = json_string(answer, "head");
    if (text.empty())
        return std::nullopt;
    return ConfigurationHead::from_json(text);
}

std::optional<std::string>
PeerRpcClient::configuration_part(const Digest& digest)
{
    Json::Value parameters;
    parameters["digest"] = digest.hex();
    const Json::Value answer =
        call(wire::peer_method::configuration_part, parameters);
    if (!json_bool(answer, "found"))
        return std::nullopt;
    return json_string(answer, "text");
}

UpstreamList
PeerRpcClient::upstream_list(const Digest& have)
{
    Json::Value parameters;
    parameters["have"] = have.hex();
    return wire::list_from_json(
        call(wire::peer_method::upstream_list, parameters));
}

} // namespace crosslink
