// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_connection.h"

#include <crosslink/ports/call_wire.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace crosslink
{

namespace
{

/// A peer that acknowledges nothing for this long is gone: a machine without
/// power says nothing, and a call should move on within its first seconds.
constexpr int unacknowledged_ms = 2000;
constexpr int probe_after_s = 1;
constexpr int probe_count = 2;
/// Longest wait for bytes of a head or a chunk that has begun to arrive.
constexpr int piece_seconds = 5;
/// What a chunked body ends with.
constexpr std::string_view chunks_end = "0\r\n\r\n";

/// Remembers the last bytes that came in: POCO takes a chunked body that
/// breaks off for one that has ended.
class TailSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
    int receiveBytes(void* buffer, int length, int flags) override
    {
        const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (count > 0)
            remember({static_cast<const char*>(buffer),
                      static_cast<std::size_t>(count)});
        return count;
    }

    const std::string& tail() const { return m_tail; }

private:
    void remember(std::string_view bytes)
    {
        m_tail += bytes.substr(bytes.size() -
                               std::min(bytes.size(), chunks_end.size()));
        if (m_tail.size() > chunks_end.size())
            m_tail.erase(0, m_tail.size() - chunks_end.size());
    }

    std::string m_tail;
};

void
set_liveness(Poco::Net::StreamSocket& socket)
{
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probe_after_s);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

/// Returns whether the other side of `socket` has closed it.
bool
is_closed(int socket)
{
    char byte = 0;
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace

class CallConnection::Session : public Poco::Net::HTTPClientSession
{
public:
    explicit Session(TailSocketImpl* tail)
        : HTTPClientSession(Poco::Net::StreamSocket(tail)), m_tail(tail)
    {
    }

    void open(const std::string& address, Micros timeout)
    {
        socket().connect(Poco::Net::SocketAddress(address),
                         Poco::Timespan(timeout.count()));
        set_liveness(socket());
        setKeepAlive(true);
        socket().setReceiveTimeout(Poco::Timespan(piece_seconds, 0));
        socket().setSendTimeout(Poco::Timespan(piece_seconds, 0));
    }

    bool has_bytes() const { return buffered() > 0; }
    int descriptor() { return static_cast<int>(socket().impl()->sockfd()); }
    bool ended_in_chunks() const { return m_tail->tail() == chunks_end; }

private:
    TailSocketImpl* m_tail; ///< Owned by the socket.
};

CallConnection::CallConnection(const std::string& address,
                               Micros connect_timeout)
    : m_session(std::make_unique<Session>(new TailSocketImpl))
{
    m_session->open(address, connect_timeout);
}

CallConnection::~CallConnection() = default;

void
CallConnection::send(const OutgoingCall& call, std::string_view body)
{
    m_watch_caller = true;
    m_broken = false;
    Poco::Net::HTTPRequest head(call.method, call.target,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HeaderField& field : call.headers)
        head.add(field.name, field.value);
    if (!body.empty() || call.method == "POST" || call.method == "PUT")
        head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    std::ostream& out = m_session->sendRequest(head);
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
    if (!out)
        throw Poco::Net::ConnectionResetException("the call was not sent");
}

CallConnection::Wait
CallConnection::wait(int caller_socket, Micros longest)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto end = begin + std::max(longest, Micros{0});
    for (;;) {
        if (m_session->has_bytes() ||
            (m_body && m_body->rdbuf()->in_avail() > 0))
            return Wait::Ready;
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            return Wait::TimedOut;
        const bool watch = caller_socket >= 0 && m_watch_caller;
        std::array<pollfd, 2> polled{
            {{m_session->descriptor(), POLLIN, 0}, {caller_socket, POLLIN, 0}}};
        const int count = ::poll(polled.data(), watch ? 2 : 1,
                                 static_cast<int>(left.count()));
        if (count < 0 && errno != EINTR)
            throw Poco::Net::NetException("poll failed");
        if (count <= 0)
            continue;
        if (polled[0].revents != 0)
            return Wait::Ready;
        if (is_closed(caller_socket))
            return Wait::CallerGone;
        // The caller sent its next request early; it is still there.
        m_watch_caller = false;
    }
}

RawHead
CallConnection::receive_head()
{
    Poco::Net::HTTPResponse response;
    m_body = &m_session->receiveResponse(response);
    m_chunked = response.getChunkedTransferEncoding();
    m_length = m_chunked ? -1 : response.getContentLength64();
    m_read = 0;
    RawHead head;
    head.status = response.getStatus();
    for (const auto& [name, value] : response)
        head.headers.push_back({name, value});
    return head;
}

std::string
CallConnection::read_some()
{
    std::string bytes;
    if (!m_body)
        return bytes;
    if (m_body->peek() != std::char_traits<char>::eof()) {
        bytes.resize(static_cast<std::size_t>(
            std::max<std::streamsize>(m_body->rdbuf()->in_avail(), 1)));
        m_body->read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        bytes.resize(static_cast<std::size_t>(m_body->gcount()));
        m_read += static_cast<long long>(bytes.size());
    } else if (m_session->networkException()) {
        m_broken = true;
    }
    return bytes;
}

bool
CallConnection::whole() const
{
    if (m_broken)
        return false;
    if (m_chunked)
        return m_session->ended_in_chunks();
    return m_length < 0 || m_read == m_length;
}

bool
CallConnection::quiet() const
{
    if (m_session->has_bytes())
        return false;
    pollfd polled{m_session->descriptor(), POLLIN, 0};
    return ::poll(&polled, 1, 0) == 0;
}

} // namespace crosslink
