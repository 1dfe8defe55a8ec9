// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "server_connection.h"

#include "clock.h"
#include "head_fields.h"
#include "message_framing.h"
#include "server_request.h"
#include "server_response.h"
#include "start_line.h"

#include <Poco/Net/NetException.h>

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <system_error>

namespace crosslink
{

namespace
{

/// Counts a connection, or a request, for as long as it lives.
class Counted
{
public:
    explicit Counted(std::atomic<std::uint32_t>& count) : m_count(count)
    {
        ++m_count;
    }
    ~Counted() { --m_count; }
    Counted(const Counted&) = delete;
    Counted& operator=(const Counted&) = delete;

private:
    std::atomic<std::uint32_t>& m_count;
};

enum class Woken { ByBytes, ByChange, ByNone };

/// Waits for bytes, or the other side's close, at `socket`.
Woken
wait_for(int socket, const ChangeSignal& change, Micros longest)
{
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(longest);
    std::array<pollfd, 2> polled{
        {{socket, POLLIN, 0}, {change.descriptor(), POLLIN, 0}}};
    const int count = ::poll(polled.data(), polled.size(),
                             static_cast<int>(milliseconds.count()));
    if (count < 0 && errno != EINTR)
        throw std::system_error(errno, std::generic_category(), "poll");
    if (count <= 0)
        return Woken::ByNone;
    return polled[0].revents != 0 ? Woken::ByBytes : Woken::ByChange;
}

using Poco::Net::HTTPResponse;

/// Sets the head of `request` to that of `bytes`. Returns the status to refuse
/// it with where it is malformed, or can be read in two ways: it could hide
/// another request. HTTP_OK where it is neither.
HTTPResponse::HTTPStatus
set_head(ServerRequest& request, const std::string& bytes,
         const SingleFields& single_fields)
{
    const auto fields = HeadFields::parse(bytes);
    if (!fields)
        return HTTPResponse::HTTP_BAD_REQUEST;
    const auto line = RequestLine::parse(fields->start_line());
    if (!line)
        return HTTPResponse::HTTP_BAD_REQUEST;
    if (!line->version.is_supported())
        return HTTPResponse::HTTP_VERSION_NOT_SUPPORTED;
    request.set_head(*line, *fields);
    if (single_fields.repeated_in(fields->fields()) ||
        !HeadFields::is_host(request.get("Host", "")) ||
        !MessageFraming::of(request))
        return HTTPResponse::HTTP_BAD_REQUEST;
    return HTTPResponse::HTTP_OK;
}

} // namespace

ServerConnection::ServerConnection(const Poco::Net::StreamSocket& socket,
                                   ServerShared& shared)
    : TCPServerConnection(socket), m_shared(shared),
      m_session(socket, shared.parameters)
{
}

void
ServerConnection::run()
{
    const Counted connection(m_shared.connections);
    while (rest()) {
        if (!serve_next())
            return;
    }
}

/// Waits for the next request. Returns false where the connection is to be
/// closed.
bool
ServerConnection::rest()
{
    const TimePoint began = monotonic_now();
    for (;;) {
        // Before the look at `stopped`, so that no wake is missed.
        const auto in_force = m_shared.times->in_force();
        if (m_shared.stopped)
            return false;
        if (m_session.has_bytes())
            return true;
        const Micros left = began + in_force.limits.idle - monotonic_now();
        const Woken woken = wait_for(m_session.descriptor(), *in_force.changed,
                                     std::max(left, Micros{0}));
        if (woken == Woken::ByBytes)
            return true;
        if (woken == Woken::ByNone && left.count() <= 0)
            return false;
    }
}

/// Serves one request. Returns whether the connection goes on.
bool
ServerConnection::serve_next()
{
    // It lives longer than the answer, whose end goes out as it is destroyed.
    const Counted open(m_shared.requests);
    // Once stopped and none open, none is read any more: the look follows the
    // count.
    if (m_shared.stopped)
        return false;
    ServerResponse answer(m_session, m_shared.closing);
    ServerRequest request(m_session, answer, m_shared.parameters);
    if (!read_head(request))
        return false;
    answer.setDate(Poco::Timestamp());
    answer.set_request(request);
    answer.setKeepAlive(request.getKeepAlive() &&
                        m_shared.connections <= m_shared.most_kept);
    if (request.getExpectContinue())
        answer.sendContinue();
    m_shared.handler(request, answer);
    return !ended_failed() && answer.getKeepAlive();
}

/// Reads the head of the next request. Returns false where there is none, or
/// was refused.
bool
ServerConnection::read_head(ServerRequest& request)
{
    m_session.limit(monotonic_now() + m_shared.times->in_force().limits.head);
    HeadDecoder head;
    try {
        m_session.read_head(head);
    } catch (const Poco::Exception&) {
        refuse(m_session.late() ? HTTPResponse::HTTP_REQUEST_TIMEOUT
                                : HTTPResponse::HTTP_BAD_REQUEST);
        return false;
    }
    if (head.bytes().empty())
        return false; // The other side closed the connection.
    auto status = HTTPResponse::HTTP_BAD_REQUEST;
    if (head.is_too_long())
        status = HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    else if (head.is_done())
        status = set_head(request, head.bytes(), m_shared.single_fields);
    if (status != HTTPResponse::HTTP_OK) {
        refuse(status);
        return false;
    }
    m_session.end_limit();
    return true;
}

/// Ends the connection where a send failed; returns whether it did. POCO keeps
/// that to itself and goes on with the end of the answer and the next request:
/// the caller would take them for bytes of an answer that was cut.
bool
ServerConnection::ended_failed()
{
    if (!m_session.networkException())
        return false;
    m_session.socket().shutdown();
    return true;
}

/// Refuses a head.
void
ServerConnection::refuse(HTTPResponse::HTTPStatus status)
{
    ServerResponse answer(m_session, m_shared.closing);
    answer.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    answer.setStatusAndReason(status);
    answer.setContentLength(0);
    answer.setKeepAlive(false);
    answer.send();
}

} // namespace crosslink
