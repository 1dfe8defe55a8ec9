// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_connection.h"

#include "clock.h"
#include "head_fields.h"
#include "message_framing.h"
#include "raw_session.h"
#include "single_fields.h"
#include "start_line.h"

#include <crosslink/ports/call_wire.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
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

/// Heads of runners are shorter; a longer one counts as arrived.
constexpr std::size_t peeked_bytes = 16U << 10U;

/// Largest piece of a chunked body that is read at once.
constexpr std::size_t piece_bytes = 64U << 10U;

/// Returns whether answers with `status` have no body whatever their head says.
bool
has_no_body(int status)
{
    constexpr std::array statuses{204, 304};
    return std::find(statuses.begin(), statuses.end(), status) !=
           statuses.end();
}

constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;

/// Returns whether an answer follows one with `status` (RFC 9110, 15.2).
bool
is_interim(int status)
{
    return status < first_final_status && status != switching_protocols;
}

/// Returns whether no more is to be waited for after `bytes`, which an answer
/// begins with, to read its head.
bool
has_final_head(std::string_view bytes)
{
    while (!bytes.empty()) {
        HeadDecoder head;
        for (const char byte : bytes)
            head.take(byte);
        if (!head.is_ended())
            return false;
        const auto fields = HeadFields::parse(head.bytes());
        const auto line =
            fields ? StatusLine::parse(fields->start_line()) : std::nullopt;
        if (!line || !is_interim(line->status))
            return true;
        bytes.remove_prefix(head.bytes().size());
    }
    return false;
}

/// Throws where a part of the call's head would be read as something else.
void
check_sendable(const OutgoingCall& call)
{
    if (!HeadFields::is_token(call.method) ||
        !HeadFields::is_text(call.target) ||
        !std::all_of(call.headers.begin(), call.headers.end(),
                     HeadFields::is_valid))
        throw Poco::Net::MessageException("the call can't be sent");
}

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

} // namespace

class CallConnection::Session : public RawSession<Poco::Net::HTTPClientSession>
{
public:
    Session(WatchedSocket* watched, const SingleFields& single_fields)
        : RawSession(Poco::Net::StreamSocket(watched)), m_watched(watched),
          m_single_fields(single_fields)
    {
    }

    void open(const std::string& address, Micros timeout)
    {
        socket().connect(Poco::Net::SocketAddress(address),
                         Poco::Timespan(timeout.count()));
        set_liveness(socket());
        socket().setBlocking(false); // WatchedSocket does the waiting.
        setKeepAlive(true);
    }

    int descriptor() { return static_cast<int>(socket().impl()->sockfd()); }
    /// While the object lives, waits end once bytes arrive on `rival`.
    class Race
    {
    public:
        Race(Session& session, const CallConnection* rival) : m_session(session)
        {
            if (rival)
                session.watched().set_rival(rival->m_session->descriptor());
        }
        ~Race() { m_session.watched().set_rival(-1); }
        Race(const Race&) = delete;
        Race& operator=(const Race&) = delete;

    private:
        Session& m_session;
    };
    WatchedSocket& watched() { return *m_watched; }

    /// Throws where a read or write ended for the caller or the deadline, which
    /// POCO's streams take for the end of what they read.
    void check_interrupted() const
    {
        if (m_watched->interrupted() && networkException())
            networkException()->rethrow();
    }

    /// Reads the head of an answer into `response`, and passes over interim
    /// ones. Throws where one is cut off, is malformed or can be read in two
    /// ways.
    void read_answer_head(Poco::Net::HTTPResponse& response)
    {
        do {
            HeadDecoder head;
            read_head(head);
            if (!head.is_done())
                throw Poco::Net::ConnectionResetException(
                    "the head was cut off");
            response.clear();
            set_head(response, head.bytes());
        } while (is_interim(response.getStatus()));
    }

private:
    void set_head(Poco::Net::HTTPResponse& response,
                  const std::string& bytes) const
    {
        const auto fields = HeadFields::parse(bytes);
        const auto line =
            fields ? StatusLine::parse(fields->start_line()) : std::nullopt;
        if (!line || !line->version.is_supported() ||
            line->status == switching_protocols ||
            m_single_fields.repeated_in(fields->fields()))
            throw Poco::Net::MessageException("the head is malformed");
        response.setVersion(line->version.read_as());
        response.setStatusAndReason(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(line->status),
            line->reason);
        for (const HeaderField& field : fields->fields())
            response.add(field.name, field.value);
    }

    WatchedSocket* m_watched; ///< Owned by the socket.
    const SingleFields& m_single_fields;
};

/// An answer whose head the session reads by itself.
class CallConnection::Answer : public Poco::Net::HTTPResponse
{
public:
    explicit Answer(Session& session) : m_session(session) {}

    void read(std::istream& /*unused*/) override
    {
        m_session.read_answer_head(*this);
    }

private:
    Session& m_session;
};

CallConnection::CallConnection(const std::string& address,
                               Micros connect_timeout,
                               const SingleFields& single_fields)
    : m_session(std::make_unique<Session>(new WatchedSocket, single_fields))
{
    m_session->open(address, connect_timeout);
}

CallConnection::~CallConnection() = default;

void
CallConnection::watch(int caller_socket, TimePoint deadline)
{
    m_session->watched().watch(caller_socket, deadline);
}

std::optional<CallConnection::Wait>
CallConnection::interrupted() const
{
    return m_session->watched().interrupted();
}

void
CallConnection::send(const OutgoingCall& call, std::string_view body,
                     const CallConnection* rival)
{
    check_sendable(call);
    const Session::Race race(*m_session, rival);
    m_broken = false;
    m_bodiless = call.method == "HEAD";
    m_body = nullptr; // The session drops the last one with a new request.
    Poco::Net::HTTPRequest head(call.method, call.target,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HeaderField& field : call.headers)
        head.add(field.name, field.value);
    if (!body.empty() || call.method == "POST" || call.method == "PUT")
        head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    std::ostream& out = m_session->sendRequest(head);
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
    m_session->check_interrupted();
    if (!out)
        throw Poco::Net::ConnectionResetException("the call was not sent");
}

CallConnection::Wait
CallConnection::wait(Micros longest, const CallConnection* rival)
{
    if (m_session->has_bytes() || (m_body && m_body->rdbuf()->in_avail() > 0))
        return Wait::Ready;
    const Session::Race race(*m_session, rival);
    return m_session->watched().wait(monotonic_now() + longest);
}

bool
CallConnection::head_arrived() const
{
    if (m_session->has_bytes())
        return true;
    // Bytes that were not read hide the end of the connection from recv().
    pollfd polled{m_session->descriptor(), POLLRDHUP, 0};
    if (::poll(&polled, 1, 0) > 0)
        return true;
    std::array<char, peeked_bytes> bytes{};
    const auto count = ::recv(m_session->descriptor(), bytes.data(),
                              bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (count <= 0)
        return count == 0 || (errno != EAGAIN && errno != EINTR);
    const std::string_view arrived(bytes.data(),
                                   static_cast<std::size_t>(count));
    return arrived.size() == bytes.size() || has_final_head(arrived);
}

RawHead
CallConnection::receive_head()
{
    Answer response(*m_session);
    m_session->watched().progressed();
    m_body = &m_session->receiveResponse(response);
    m_session->watched().progressed();
    const auto framing = MessageFraming::of(response);
    if (!framing)
        throw Poco::Net::MessageException("the end of the body is ambiguous");
    m_chunked = framing->chunked;
    m_chunks = ChunkDecoder();
    m_length = framing->length ? static_cast<long long>(*framing->length) : -1;
    m_read = 0;
    m_over = false;
    RawHead head;
    head.status = response.getStatus();
    m_bodiless = m_bodiless || has_no_body(head.status);
    for (const auto& [name, value] : response)
        head.headers.push_back({name, value});
    return head;
}

std::string
CallConnection::read_some()
{
    std::string bytes = read_next();
    while (bytes.empty() && !is_over())
        bytes = read_next();
    return bytes;
}

std::string
CallConnection::read_next()
{
    if (!m_body || ended()) {
        m_over = true;
        return {};
    }
    return m_chunked ? read_chunked() : read_unchunked();
}

/// Reads the body itself: POCO's stream takes a part of a chunked body for the
/// whole of it.
std::string
CallConnection::read_chunked()
{
    std::string data;
    try {
        do {
            const std::string bytes =
                m_session->read_raw(std::min(m_chunks.wanted(), piece_bytes));
            m_over = bytes.empty();
            m_chunks.take(bytes, data);
        } while (!is_over() && data.size() < piece_bytes &&
                 m_session->has_bytes());
    } catch (const Poco::Exception&) {
        m_over = true;
        m_session->check_interrupted();
    }
    m_read += static_cast<long long>(data.size());
    if (!data.empty() || m_chunks.is_done())
        m_session->watched().progressed();
    return data;
}

std::string
CallConnection::read_unchunked()
{
    std::string bytes;
    if (m_body->peek() != std::char_traits<char>::eof()) {
        bytes.resize(static_cast<std::size_t>(
            std::max<std::streamsize>(m_body->rdbuf()->in_avail(), 1)));
        m_body->read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        bytes.resize(static_cast<std::size_t>(m_body->gcount()));
        m_read += static_cast<long long>(bytes.size());
        m_session->watched().progressed();
    } else {
        m_over = true;
        if (m_session->networkException()) {
            m_session->check_interrupted();
            m_broken = true;
        }
    }
    return bytes;
}

bool
CallConnection::whole() const
{
    if (m_broken)
        return false;
    if (m_bodiless)
        return true;
    if (m_chunked)
        return m_chunks.is_done();
    if (m_length < 0)
        return m_read > 0;
    return m_read == m_length;
}

bool
CallConnection::skip_body()
{
    long long skipped = 0;
    while (skipped <= max_skipped_bytes) {
        const std::string bytes = read_some();
        if (bytes.empty())
            return true;
        skipped += static_cast<long long>(bytes.size());
    }
    return false;
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
