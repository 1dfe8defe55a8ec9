// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "instance_state.h"
#include "request_path.h"

#include <adapters/http_server.h>

#include <atomic>
#include <memory>

namespace crosslink
{

/// Serves callers by HTTP/1.1. The paths for peers and operators are not
/// reachable here.
class CallerServer
{
public:
    CallerServer(InstanceState& state, RequestPath& path);

    std::string address() const { return m_server->address(); }
    /// Ends each connection with its next answer, so that a load balancer
    /// notices a planned stop.
    void close_after_answers() { m_server->close_after_answers(); }
    /// Stops accepting new connections.
    void stop_listening() { m_server->stop_listening(); }
    /// Returns the number of requests that are being answered.
    int running() const { return m_running; }
    /// Returns the arrival time of the latest caller request; health checks and
    /// /metrics don't count.
    TimePoint latest_request() const { return m_latest.load(); }

private:
    void handle(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& answer);
    void handle_caller(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& answer);
    bool handle_health(const std::string& path,
                       Poco::Net::HTTPServerResponse& answer);

    InstanceState& m_state;
    RequestPath& m_path;
    std::atomic<TimePoint> m_latest{TimePoint{}};
    std::atomic<int> m_running{0};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace crosslink
