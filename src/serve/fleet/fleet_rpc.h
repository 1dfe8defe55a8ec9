// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "change_receiver.h"
#include "exchange_handler.h"

#include <adapters/http_client.h>
#include <adapters/http_server.h>
#include <adapters/port_look.h>
#include <serve/coordinator/coordinator.h>

#include <crosslink/forward/duty_placement.h>
#include <crosslink/forward/stream_origins.h>
#include <crosslink/membership/instance_info.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

class RelayHandler;
class RpcServer;

/// What an instance knows of the platform's store, and the time since the
/// platform confirmed that this is complete.
struct StoreSnapshot {
    ChangePage page;
    Micros age{0};
};

/// What an instance knows of a stream that a caller takes up.
struct StreamAnswer {
    std::optional<StreamOrigin> origin; ///< Nothing if it does not know it.
    bool several = false; ///< Several versions of the service served lately.
    std::string software; ///< The only one listed; empty if there is none.
};

/// Server for the other instances of the fleet: their JSON-RPC calls, and calls
/// that this instance passes on to runners for them.
class FleetServer
{
public:
    FleetServer(ForwardState& state, Coordinator& coordinator,
                ExchangeHandler& handler, ChangeReceiver& changes,
                RelayHandler& relay);
    ~FleetServer();

    /// Ends each connection of another instance with its next answer.
    void close_after_answers();

private:
    std::unique_ptr<RpcServer> m_rpc;
    std::unique_ptr<HttpServer> m_server;
};

/// JSON-RPC client for calls to another instance. They throw
/// Error(PeerUnavailable).
class FleetClient
{
public:
    explicit FleetClient(const std::string& address);

    /// See Coordinator::find_kept_parts().
    KeptAnswer find_kept_parts(const KeptSpace& space,
                               std::span<const PromptPart> parts,
                               Micros timeout);
    /// See Coordinator::cancel_saves().
    void cancel_saves(const std::string& space,
                      std::span<const PromptPart> parts);
    /// See Coordinator::stop_answering().
    bool stop_answering(std::uint64_t token, const std::string& address);
    /// Returns the coordinator's address as that instance knows it; empty for
    /// none.
    std::string coordinator_address();
    /// Returns the addresses that `instance` may poll, in order of preference;
    /// see FleetTree::parents(). Empty where the other instance does not know
    /// the fleet yet.
    std::vector<std::string> parents_of(const InstanceInfo& instance);
    /// Returns all that the other instance knows of the platform's store; a
    /// page that is no snapshot where it knows nothing.
    StoreSnapshot store_snapshot();
    /// See look_for_peer().
    std::optional<ProcessFate> look_at_runner(const std::string& runner);
    /// Returns which of `runners` the other instance reaches itself; see
    /// DutyPlacement.
    DutyPlacement::PeerReach reach(const std::vector<std::string>& runners);
    /// See Coordinator::offer_duty().
    void offer_duty(bool is_free);
    /// Returns what the other instance knows of `stream`, of `service`.
    StreamAnswer find_stream(const std::string& stream,
                             const std::string& service);
    /// Lets the other instance remember `origins`.
    void tell_streams(std::span<const StreamOrigin> origins);
    /// Returns the origins that the other instance knows and whose home the
    /// instance `name` is.
    std::vector<StreamOrigin> streams_of(const std::string& name);
    /// See ExchangeHandler::exchange().
    ExchangeResponse exchange(const ExchangeRequest& request);

private:
    Json::Value call(const char* method, const Json::Value& parameters,
                     Micros timeout);

    HttpClient m_client;
};

} // namespace crosslink
