// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "http_client.h"

#include "clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <istream>
#include <ostream>

namespace crosslink
{

namespace
{

/// Kept connections for one address.
constexpr std::size_t most_idle = 32;
/// A kept connection is used again only within this time; servers keep theirs
/// longer.
constexpr int keep_alive_seconds = 4;
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;

Poco::Timespan
timespan(Micros span)
{
    return Poco::Timespan(span.count());
}

[[noreturn]] void
fail(const Poco::Exception& failure, RunState state)
{
    const auto code =
        dynamic_cast<const Poco::TimeoutException*>(&failure) != nullptr
            ? ErrorCode::UpstreamTimeout
            : ErrorCode::UpstreamFailed;
    throw Error(code, failure.displayText(), state);
}

/// Returns the answer to `request` without its body.
HttpAnswer
head_of(const Poco::Net::HTTPResponse& response, const HttpRequest& request)
{
    HttpAnswer answer;
    answer.status = response.getStatus();
    answer.content_type = response.getContentType();
    if (response.has("Retry-After"))
        answer.retry_after = response.get("Retry-After");
    const std::string wanted(request.wanted_header);
    if (!wanted.empty() && response.has(wanted))
        answer.wanted_header = response.get(wanted);
    return answer;
}

bool
is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

} // namespace

/// A client session that is connected in a step of its own, so that "no byte
/// was sent" is known and not guessed.
class HttpClient::Connection : public Poco::Net::HTTPClientSession
{
public:
    using HTTPClientSession::HTTPClientSession;

    void open(const Poco::Net::SocketAddress& address) { connect(address); }

    TimePoint idle_since{};
};

HttpClient::HttpClient(std::string address, HttpTimeouts timeouts)
    : m_address(std::move(address)), m_timeouts(timeouts)
{
}

HttpClient::~HttpClient() = default;

HttpClient::Session
HttpClient::connect()
{
    const Poco::Net::SocketAddress address(m_address);
    auto session = std::make_unique<Connection>(address);
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(Poco::Timespan(keep_alive_seconds, 0));
    session->setTimeout(timespan(m_timeouts.connect),
                        timespan(m_timeouts.receive),
                        timespan(m_timeouts.receive));
    session->open(address);
    return session;
}

HttpClient::Session
HttpClient::take()
{
    const auto now = monotonic_now();
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty()) {
            Session session = std::move(m_idle.back());
            m_idle.pop_back();
            const auto idle = now - session->idle_since;
            if (idle < std::chrono::seconds(keep_alive_seconds - 1))
                return session;
        }
    }
    return connect();
}

void
HttpClient::put_back(Session session)
{
    session->idle_since = monotonic_now();
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < most_idle)
        m_idle.push_back(std::move(session));
}

void
HttpClient::drop_kept()
{
    std::vector<Session> dropped; // Closed after the lock.
    const std::lock_guard lock(m_mutex);
    dropped.swap(m_idle);
}

HttpClient::Session
HttpClient::begin(const HttpRequest& request, bool fresh_connection,
                  RunState& state)
{
    state = RunState::NotDispatched;
    Session session = fresh_connection ? connect() : take();
    // From the first byte on, anything may have happened over there.
    state = RunState::MayHaveRun;
    const Micros receive = request.receive_timeout.value_or(m_timeouts.receive);
    session->socket().setReceiveTimeout(timespan(receive));
    Poco::Net::HTTPRequest head(request.method, request.path,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HeaderField& field : request.headers)
        head.set(field.name, field.value);
    head.setContentLength(static_cast<std::streamsize>(request.body.size()));
    std::ostream& out = session->sendRequest(head);
    out.write(request.body.data(),
              static_cast<std::streamsize>(request.body.size()));
    out.flush();
    if (!out)
        throw Poco::Net::ConnectionResetException("the body was not sent");
    m_bytes += request.body.size();
    return session;
}

HttpAnswer
HttpClient::exchange(const HttpRequest& request, bool fresh_connection)
{
    RunState state = RunState::NotDispatched;
    try {
        Session session = begin(request, fresh_connection, state);
        Poco::Net::HTTPResponse response;
        std::istream& in = session->receiveResponse(response);
        HttpAnswer answer = head_of(response, request);
        Poco::StreamCopier::copyToString(in, answer.body);
        const bool chunked = response.getChunkedTransferEncoding();
        const auto length = response.getContentLength64();
        if (!chunked && length >= 0 &&
            answer.body.size() != static_cast<std::size_t>(length))
            throw Poco::Net::MessageException("the answer was cut short");
        m_bytes += answer.body.size();
        if (!fresh_connection && response.getKeepAlive())
            put_back(std::move(session));
        return answer;
    } catch (const Poco::Exception& failure) {
        drop_kept();
        fail(failure, state);
    }
}

Json::Value
HttpClient::post_json(std::string_view path, const Json::Value& body,
                      ErrorCode code, std::optional<Micros> receive_timeout)
{
    HttpRequest request;
    request.receive_timeout = receive_timeout;
    request.path = path;
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = json_text(body);
    const HttpAnswer answer = exchange(request);
    if (is_success(answer.status))
        return answer.body.empty() ? Json::Value() : parse_json(answer.body);
    const bool refused =
        answer.status < first_server_error || answer.status == unavailable;
    throw Error(code,
                m_address + std::string(path) + " answered " +
                    std::to_string(answer.status),
                refused ? RunState::RefusedBeforeRun : RunState::MayHaveRun);
}

HttpAnswer
HttpClient::stream(const HttpRequest& request, const LineSink& on_line)
{
    RunState state = RunState::NotDispatched;
    try {
        Session session = begin(request, false, state);
        Poco::Net::HTTPResponse response;
        std::istream& in = session->receiveResponse(response);
        HttpAnswer answer = head_of(response, request);
        if (!is_success(answer.status)) {
            Poco::StreamCopier::copyToString(in, answer.body);
            return answer;
        }
        std::string line;
        while (std::getline(in, line)) {
            m_bytes += line.size() + 1;
            if (!on_line(line))
                return answer;
        }
        if (const auto* failure = session->networkException())
            failure->rethrow();
        if (response.getKeepAlive())
            put_back(std::move(session));
        return answer;
    } catch (const Poco::Exception& failure) {
        drop_kept();
        fail(failure, state);
    }
}

} // namespace crosslink
