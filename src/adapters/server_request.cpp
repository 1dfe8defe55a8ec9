// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "server_request.h"

#include "head_fields.h"
#include "server_session.h"
#include "start_line.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <utility>

namespace crosslink
{

ServerRequest::ServerRequest(ServerSession& session,
                             Poco::Net::HTTPServerResponse& response,
                             Poco::Net::HTTPServerParams::Ptr parameters)
    : m_session(session), m_response(response),
      m_parameters(std::move(parameters))
{
}

void
ServerRequest::set_head(const RequestLine& line, const HeadFields& fields)
{
    setMethod(line.method);
    setURI(line.target);
    setVersion(line.version.read_as());
    for (const HeaderField& field : fields.fields())
        add(field.name, field.value);
}

int
ServerRequest::descriptor() const
{
    return m_session.descriptor();
}

void
ServerRequest::abort()
{
    Poco::Net::StreamSocket& socket = m_session.socket();
    // To a caller of HTTP/1.0 the connection's end is that of the answer: only
    // a reset tells that it was cut off. The others must not get the last
    // chunk, which POCO sends as the answer is destroyed.
    if (getVersion() == HTTP_1_0)
        socket.setLinger(true, 0);
    else
        socket.shutdown();
}

std::istream&
ServerRequest::stream()
{
    throw Poco::NotImplementedException("bodies are read by read_body()");
}

const Poco::Net::SocketAddress&
ServerRequest::clientAddress() const
{
    m_client = m_session.clientAddress();
    return m_client;
}

const Poco::Net::SocketAddress&
ServerRequest::serverAddress() const
{
    m_server = m_session.serverAddress();
    return m_server;
}

const Poco::Net::HTTPServerParams&
ServerRequest::serverParams() const
{
    return *m_parameters;
}

Poco::Net::HTTPServerResponse&
ServerRequest::response() const
{
    return m_response;
}

ServerRequest&
ServerRequest::from(Poco::Net::HTTPServerRequest& request)
{
    return static_cast<ServerRequest&>(request);
}

} // namespace crosslink
