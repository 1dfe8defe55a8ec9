// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange_desk.h"
#include "news_intake.h"

#include <adapters/http_client.h>
#include <adapters/http_server.h>
#include <serve/steward/steward.h>

#include <memory>
#include <span>
#include <string>

namespace crosslink
{

class RpcServer;

/// What an instance knows of the platform's store, and how long ago the
/// platform told that it is all.
struct ToldNews {
    NewsPage page;
    Micros age{0};
};

/// Answers the calls of the other instances of the fleet, by JSON-RPC.
class FleetServer
{
public:
    FleetServer(ForwardState& state, Steward& steward, ExchangeDesk& desk,
                NewsIntake& news);
    ~FleetServer();

private:
    std::unique_ptr<RpcServer> m_rpc;
    std::unique_ptr<HttpServer> m_server;
};

/// Calls to another instance. Throws Error(PeerUnavailable).
class FleetClient
{
public:
    explicit FleetClient(const std::string& address);

    /// See Steward::ask_kept().
    KeptAnswer ask_kept(const KeptSpace& space,
                        std::span<const PromptPart> parts, Micros longest);
    /// See Steward::not_saved().
    void not_saved(const std::string& space, std::span<const PromptPart> parts);
    /// See Steward::stop_telling().
    bool stop_telling(std::uint64_t token, const std::string& address);
    /// Returns the address of the duty's holder as that instance knows it;
    /// empty for none.
    std::string holder();
    /// Returns all that this instance knows of the platform's store; a page
    /// that is not whole where it knows nothing.
    ToldNews news();
    /// See ExchangeDesk::exchange().
    ExchangeAnswer exchange(const ExchangeQuestion& question);

private:
    Json::Value call(const char* method, const Json::Value& parameters,
                     Micros longest);

    HttpClient m_client;
};

} // namespace crosslink
