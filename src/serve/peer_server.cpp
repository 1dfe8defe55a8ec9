// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "peer_server.h"

#include "status_report.h"

#include <adapters/clock.h>
#include <adapters/peer_rpc_client.h>
#include <adapters/peer_wire.h>
#include <peer_rpc/rpc.h>

#include <crosslink/base/error.h>

#include <openssl/crypto.h>

#include <array>
#include <string_view>

namespace crosslink
{

namespace
{

constexpr int success = 200;
constexpr std::uint64_t most_body_bytes = 16U << 20U;
constexpr int most_threads = 64;

HttpServerRules
rules()
{
    HttpServerRules result;
    result.most_threads = most_threads;
    result.single_fields.add(
        std::array<std::string_view, 1>{wire::peer_proof_header});
    return result;
}

/// Compares in a time that does not depend on the position of the first
/// difference.
bool
constant_time_equal(const std::string& one, const std::string& other)
{
    return one.size() == other.size() &&
           CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

} // namespace

PeerServer::PeerServer(InstanceState& state, ClaimHandler& claim_handler,
                       GossipDuty& gossip, AdmissionGate& gate)
    : m_state(state), m_proof(peer_proof(state.settings.fleet_secret)),
      m_rpc(std::make_unique<RpcServer>()), m_gate(gate),
      m_claim_handler(claim_handler)
{
    add_methods(gossip);
    m_server = std::make_unique<HttpServer>(
        state.settings.peer_bind, rules(), [this](auto& request, auto& answer) {
            try {
                handle(request, answer);
            } catch (const std::exception&) {
                // The peer's connection broke.
                return;
            }
        });
}

PeerServer::~PeerServer() = default;

void
PeerServer::add_methods(GossipDuty& gossip)
{
    namespace method = wire::peer_method;
    m_rpc->add(method::gossip, [&gossip](const Json::Value& parameters) {
        return wire::gossip_to_json(
            gossip.answer(wire::gossip_from_json(parameters)));
    });
    m_rpc->add(method::commit_claims, [this](const Json::Value& parameters) {
        const auto slice = json_uint32(parameters, "slice");
        const auto claims = wire::claims_from_json(parameters["claims"]);
        Json::Value result;
        result["verdicts"] = wire::verdicts_to_json(
            m_claim_handler.commit_locally(slice, claims));
        return result;
    });
    m_rpc->add(method::answer_of, [this](const Json::Value& parameters) {
        const Digest key = Digest::from_hex(json_string(parameters, "key"));
        return wire::answer_to_json(m_state.answers.with(
            [&key](AnswerCache& answers) { return answers.find(key); }));
    });
    m_rpc->add(method::upstream_list, [this](const Json::Value& parameters) {
        const Digest have = Digest::from_hex(json_string(parameters, "have"));
        const TimePoint now = monotonic_now();
        return wire::list_to_json(
            m_state.directory.with([now](UpstreamDirectory& directory) {
                return directory.list(now);
            }),
            have);
    });
    m_rpc->add(method::configuration_head, [this](const Json::Value&) {
        Json::Value result(Json::objectValue);
        if (const auto current = m_state.configuration.current())
            result["head"] = current->head().to_json();
        return result;
    });
    m_rpc->add(
        method::configuration_part, [this](const Json::Value& parameters) {
            const Digest digest =
                Digest::from_hex(json_string(parameters, "digest"));
            Json::Value result;
            const auto current = m_state.configuration.current();
            const bool found = current && current->texts().contains(digest);
            result["found"] = found;
            if (found)
                result["text"] = *current->texts().at(digest);
            return result;
        });
}

void
PeerServer::handle(Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& answer)
{
    const std::string body = read_body(request, most_body_bytes);
    if (!constant_time_equal(request.get(wire::peer_proof_header, ""),
                             m_proof)) {
        send_answer(answer, error_status(ErrorCode::PeerRefused), "text/plain",
                    "the fleet's proof is missing or wrong\n");
        return;
    }
    const std::string& path = request.getURI();
    if (path == wire::peer_path) {
        send_answer(answer, success, "application/json", m_rpc->handle(body));
    } else if (path == "/status") {
        send_json(answer, success, status());
    } else if (path == "/report") {
        send_json(answer, success, m_state.burn.with([](BurnReport& report) {
            return report.rows(monotonic_now());
        }));
    } else {
        send_answer(answer, error_status(ErrorCode::UnknownPath), "text/plain",
                    "no such path\n");
    }
}

Json::Value
PeerServer::status() const
{
    Json::Value value = status_report(m_state);
    value["requests"]["running"] = Json::UInt64(m_gate.running());
    value["requests"]["waiting"] = Json::UInt64(m_gate.waiting());
    value["limit_share"] = m_state.limit_share();
    value["limits_in_use"] = Json::Value(Json::objectValue);
    for (const AccountUse& use : m_gate.in_use())
        value["limits_in_use"][use.account] = use.open;
    value["claims_in_memory"] = Json::UInt64(m_claim_handler.claim_count());
    return value;
}

} // namespace crosslink
