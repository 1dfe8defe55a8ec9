// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "server_connection.h"

#include "clock.h"
#include "head_fields.h"
#include "head_record.h"
#include "message_framing.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <string_view>
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

/// Sets the fields of `request` to those of the head that it was read from.
/// Returns false where that head is malformed, was read in another way, or does
/// not tell where the body ends: it could hide another request.
bool
restore(Poco::Net::HTTPServerRequest& request, std::string_view head)
{
    const auto fields = HeadFields::parse(head);
    return fields && HeadFields::is_token(request.getMethod()) &&
           fields->start_line() == request.getMethod() + " " +
                                       request.getURI() + " " +
                                       request.getVersion() &&
           HeadRecord::restore(*fields, request) && MessageFraming::of(request);
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
    Poco::Net::HTTPServerResponseImpl answer(m_session);
    m_session.limit(monotonic_now() + m_shared.times->in_force().limits.head);
    std::optional<Poco::Net::HTTPServerRequestImpl> request;
    m_session.begin_head();
    try {
        request.emplace(answer, m_session, m_shared.parameters);
    } catch (const Poco::Net::NoMessageException&) {
        return false; // The other side closed the connection.
    } catch (const Poco::Exception&) {
        refuse();
        return false;
    }
    // POCO takes a head that breaks off for a whole one. A head asks for no
    // byte beyond its end: where a read brought nothing, it has not ended.
    if (m_session.broken() || !restore(*request, m_session.end_head())) {
        refuse();
        return false;
    }
    m_session.end_limit();
    answer.setDate(Poco::Timestamp());
    answer.setVersion(request->getVersion());
    answer.setKeepAlive(request->getKeepAlive() &&
                        m_shared.connections <= m_shared.most_kept);
    if (request->getExpectContinue())
        answer.sendContinue();
    m_shared.handler(*request, answer);
    return !ended_failed() && answer.getKeepAlive();
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

/// Refuses a head that is malformed or late.
void
ServerConnection::refuse()
{
    using Poco::Net::HTTPResponse;
    Poco::Net::HTTPServerResponseImpl answer(m_session);
    answer.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    answer.setStatusAndReason(m_session.late()
                                  ? HTTPResponse::HTTP_REQUEST_TIMEOUT
                                  : HTTPResponse::HTTP_BAD_REQUEST);
    answer.setContentLength(0);
    answer.setKeepAlive(false);
    answer.send();
}

} // namespace crosslink
