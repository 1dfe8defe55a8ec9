// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "fault_switch.h"

#include <adapters/http_server.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace crosslink::standins
{

/// What every stand-in is reached by and announces.
struct StandinSettings {
    std::string bind = "127.0.0.1:0";
    std::string platform; ///< Address of the platform stand-in; may be empty.
    std::string zone = "zone-a";
    std::string id;
};

/// One HTTP server with JSON calls by path, streams, and the fault switch:
/// POST /fault adds an order, POST /fault/clear lifts all.
class StandinServer
{
public:
    using Call = std::function<Json::Value(const Json::Value& body)>;
    using Raw = std::function<void(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& answer)>;

    StandinServer() = default;
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    /// Adds a JSON call. Throwing Error answers its status.
    void call(const std::string& path, Call handler);
    /// Adds a JSON call that `function` of `state` answers; `state` outlives
    /// this.
    template<typename State>
    void call(const std::string& path, State& state,
              Json::Value (State::*function)(const Json::Value& body))
    {
        call(path, [&state, function](const Json::Value& body) {
            return (state.*function)(body);
        });
    }
    /// Adds a call that writes its answer itself; the path is a prefix.
    void raw(const std::string& path, Raw handler);
    /// Binds and serves; prints "listening <address>" for scripts.
    void start(const StandinSettings& settings);
    /// Announces `instance` to the platform every second, until the end. The
    /// address is filled in.
    void announce(const StandinSettings& settings, Json::Value instance);
    /// Changes what is announced.
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// Waits for SIGTERM or SIGINT.
    static void wait_for_signal();

    std::string address() const { return m_server->address(); }

private:
    void handle(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& answer);
    void dispatch(const std::string& path,
                  Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& answer, bool drop_answer);
    bool apply_before(const Fault& fault, Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& answer);

    std::map<std::string, Call> m_calls;
    std::map<std::string, Raw> m_raws;
    FaultSwitch m_faults;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_announcer;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_leaving{false};
};

/// Closes the connection of `request` at once, so that no answer goes out.
void cut_connection(Poco::Net::HTTPServerRequest& request);

} // namespace crosslink::standins
