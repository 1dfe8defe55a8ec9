// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/SocketAddress.h>

namespace crosslink
{

class HeadFields;
class ServerSession;
struct RequestLine;

/// A request of a ServerConnection. Its body is read by read_body().
class ServerRequest : public Poco::Net::HTTPServerRequest
{
public:
    /// All of them must outlive this object.
    ServerRequest(ServerSession& session,
                  Poco::Net::HTTPServerResponse& response,
                  Poco::Net::HTTPServerParams::Ptr parameters);

    /// Sets the head; `fields` are as they came in.
    void set_head(const RequestLine& line, const HeadFields& fields);

    ServerSession& session() { return m_session; }
    /// Returns the descriptor of the connection.
    int descriptor() const;
    /// Ends the connection so that an answer that has begun can't be taken for
    /// complete.
    void abort();

    /// Not implemented.
    std::istream& stream() override;
    const Poco::Net::SocketAddress& clientAddress() const override;
    const Poco::Net::SocketAddress& serverAddress() const override;
    const Poco::Net::HTTPServerParams& serverParams() const override;
    Poco::Net::HTTPServerResponse& response() const override;
    bool secure() const override { return false; }

    /// Returns the request that a handler of an HttpServer was called with.
    static ServerRequest& from(Poco::Net::HTTPServerRequest& request);

private:
    ServerSession& m_session;
    Poco::Net::HTTPServerResponse& m_response;
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    /// Asked for once they are needed.
    mutable Poco::Net::SocketAddress m_client;
    mutable Poco::Net::SocketAddress m_server;
};

} // namespace crosslink
