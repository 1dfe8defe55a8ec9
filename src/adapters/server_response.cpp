// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "server_response.h"

#include "server_request.h"
#include "server_session.h"

#include <Poco/Net/HTTPHeaderStream.h>

#include <ios>

namespace crosslink
{

ServerResponse::ServerResponse(ServerSession& session,
                               const std::atomic<bool>& closing)
    : HTTPServerResponseImpl(session), m_session(session), m_closing(closing)
{
}

ServerResponse::~ServerResponse() = default;

void
ServerResponse::set_request(const ServerRequest& request)
{
    m_head_only = request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
    setVersion(request.getVersion());
}

std::ostream&
ServerResponse::send()
{
    if (m_closing)
        setKeepAlive(false);
    const bool is_unframed =
        getVersion() == HTTP_1_0 && getChunkedTransferEncoding();
    if (!is_unframed && !m_head_only)
        return HTTPServerResponseImpl::send();
    if (is_unframed) {
        setChunkedTransferEncoding(false);
        setKeepAlive(false);
    }
    m_out = std::make_unique<Poco::Net::HTTPHeaderOutputStream>(m_session);
    write(*m_out);
    m_out->flush();
    return m_head_only ? static_cast<std::ostream&>(m_none) : *m_out;
}

void
ServerResponse::sendBuffer(const void* bytes, std::size_t length)
{
    setChunkedTransferEncoding(false);
    setContentLength64(static_cast<Poco::Int64>(length));
    std::ostream& out = send();
    out.write(static_cast<const char*>(bytes),
              static_cast<std::streamsize>(length));
}

} // namespace crosslink
