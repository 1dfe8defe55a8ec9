// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/NullStream.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <ostream>

namespace Poco::Net
{
class HTTPHeaderOutputStream;
}

namespace crosslink
{

class ServerRequest;
class ServerSession;

/// The answer to a request of a ServerConnection. A body that is sent in pieces
/// goes out in chunks, and up to the connection's end to a caller of HTTP/1.0,
/// which knows no chunks.
class ServerResponse : public Poco::Net::HTTPServerResponseImpl
{
public:
    /// Ends the connection if `closing` is true when its head is sent. Both
    /// must outlive this object.
    ServerResponse(ServerSession& session, const std::atomic<bool>& closing);
    ~ServerResponse() override;
    ServerResponse(const ServerResponse&) = delete;
    ServerResponse& operator=(const ServerResponse&) = delete;

    /// Sets the request that this answers.
    void set_request(const ServerRequest& request);

    /// To the stream returned for a request with HEAD nothing is sent.
    std::ostream& send() override;
    void sendBuffer(const void* bytes, std::size_t length) override;

private:
    ServerSession& m_session;
    const std::atomic<bool>& m_closing;
    bool m_head_only = false;
    /// Of a body without a length or chunks. POCO's own stream for those would
    /// end the connection in order also where the answer is to be aborted.
    std::unique_ptr<Poco::Net::HTTPHeaderOutputStream> m_out;
    Poco::NullOutputStream m_none;
};

} // namespace crosslink
