// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_path.h"
#include "forward_state.h"

#include <adapters/http_server.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace crosslink
{

/// The HTTP servers of one instance: for callers, for the load balancer's
/// readiness checks, and for metrics.
class ForwardServer
{
public:
    ForwardServer(ForwardState& state, ForwardPath& path);
    ~ForwardServer();

    /// Ends each connection of a caller with its next answer.
    void close_after_answers();
    /// Stops accepting connections from callers.
    void stop_listening();
    /// Stops reading calls on the open connections.
    void stop_reading();
    /// Returns the number of calls that are being read or answered.
    std::uint32_t open_calls() const;
    /// Returns when the latest call arrived.
    TimePoint latest_call() const { return m_latest; }

private:
    void handle(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& answer);
    void handle_ready(Poco::Net::HTTPServerResponse& answer);

    ForwardState& m_state;
    ForwardPath& m_path;
    std::atomic<TimePoint> m_latest{TimePoint{}};
    std::unique_ptr<HttpServer> m_ready;
    std::unique_ptr<HttpServer> m_metrics;
    std::unique_ptr<HttpServer> m_callers;
};

} // namespace crosslink
