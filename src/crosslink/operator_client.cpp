// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "operator_client.h"

#include <adapters/http_client.h>
#include <adapters/peer_rpc_client.h>
#include <adapters/peer_wire.h>

#include <crosslink/base/error.h>

#include <CLI/CLI.hpp>

#include <fstream>

namespace crosslink
{

namespace
{

constexpr int http_ok = 200;
/// The largest answers are reports on a whole fleet.
constexpr AnswerLimit answer_limit{64U << 20U};

} // namespace

void
add_access_options(CLI::App& command, OperatorAccess& access, bool required)
{
    command
        .add_option("--instance", access.instance,
                    "Peer address of an entry instance")
        ->envname("CROSSLINK_INSTANCE")
        ->required(required);
    command
        .add_option("--fleet-secret-file", access.secret_file,
                    "File with the fleet's secret")
        ->envname("CROSSLINK_FLEET_SECRET_FILE")
        ->required(required);
}

std::string
read_secret(const std::string& path)
{
    std::ifstream file(path);
    std::string secret;
    if (!std::getline(file, secret))
        throw Error(ErrorCode::SettingsInvalid,
                    "--fleet-secret-file can't be read: \"" + path + "\"");
    return secret;
}

Json::Value
fetch_from_instance(const std::string& address, const std::string& secret,
                    std::string_view path)
{
    HttpClient client(address, {}, answer_limit);
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    request.headers.push_back({wire::peer_proof_header, peer_proof(secret)});
    HttpAnswer answer;
    try {
        answer = client.exchange(request);
    } catch (const Error& failure) {
        throw Error(ErrorCode::PeerUnavailable,
                    address + ": " + failure.what());
    }
    if (answer.status != http_ok)
        throw Error(ErrorCode::PeerUnavailable,
                    address + " answered " + std::to_string(answer.status));
    return parse_json(answer.body);
}

} // namespace crosslink
