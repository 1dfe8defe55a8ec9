// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "connection_times.h"
#include "server_session.h"
#include "single_fields.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/TCPServerConnection.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace crosslink
{

class ServerRequest;

/// What the connections of one server share. It outlives them.
struct ServerShared {
    using Handler = std::function<void(Poco::Net::HTTPServerRequest& request,
                                       Poco::Net::HTTPServerResponse& answer)>;

    Handler handler;
    std::shared_ptr<ConnectionTimes> times;
    SingleFields single_fields;
    Poco::Net::HTTPServerParams::Ptr parameters;
    /// With more connections than this none is kept after its answer.
    std::uint32_t most_kept = 0;
    std::atomic<std::uint32_t> connections{0};
    /// Requests from their first byte to the last byte of their answer.
    std::atomic<std::uint32_t> requests{0};
    std::atomic<bool> closing{false}; ///< Answers end their connections.
    std::atomic<bool> stopped{false}; ///< No further request is read.
};

/// One connection: requests are read and answered one after the other.
class ServerConnection : public Poco::Net::TCPServerConnection
{
public:
    ServerConnection(const Poco::Net::StreamSocket& socket,
                     ServerShared& shared);

    void run() override;

private:
    bool rest();
    bool serve_next();
    bool read_head(ServerRequest& request);
    bool ended_failed();
    void refuse(Poco::Net::HTTPResponse::HTTPStatus status);

    ServerShared& m_shared;
    ServerSession m_session;
};

} // namespace crosslink
