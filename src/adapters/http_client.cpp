// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "http_client.h"

#include "answer_buffer.h"
#include "call_connection.h"
#include "clock.h"

#include <crosslink/ports/call_wire.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <algorithm>
#include <chrono>

namespace crosslink
{

namespace
{

/// Kept connections for one address.
constexpr std::size_t most_idle = 32;
/// A kept connection is used again only within this time; servers keep theirs
/// longer.
constexpr Micros keep_alive = std::chrono::seconds(3);
constexpr int no_caller = -1;
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;

[[noreturn]] void
fail(const Poco::Exception& failure, RunState state)
{
    const auto code =
        dynamic_cast<const Poco::TimeoutException*>(&failure) != nullptr
            ? ErrorCode::UpstreamTimeout
            : ErrorCode::UpstreamFailed;
    throw Error(code, failure.displayText(), state);
}

/// Returns the value of the header `name`, which stands once; nothing if there
/// is none. Throws where there are several.
std::optional<std::string>
header_of(const RawHead& head, std::string_view name)
{
    std::optional<std::string> value;
    for (const HeaderField& field : head.headers) {
        if (Poco::icompare(field.name, std::string(name)) != 0)
            continue;
        if (value)
            throw Poco::Net::MessageException("a header stands twice");
        value = field.value;
    }
    return value;
}

/// Returns the answer to `request` without its body.
HttpAnswer
answer_of(const RawHead& head, const HttpRequest& request)
{
    HttpAnswer answer;
    answer.status = head.status;
    answer.content_type = header_of(head, "Content-Type").value_or("");
    answer.retry_after = header_of(head, "Retry-After");
    if (!request.wanted_header.empty())
        answer.wanted_header = header_of(head, request.wanted_header);
    return answer;
}

/// Returns whether the connection carries another request after the answer.
bool
is_kept(const RawHead& head)
{
    return std::none_of(
        head.headers.begin(), head.headers.end(), [](const HeaderField& field) {
            return Poco::icompare(field.name, "Connection") == 0 &&
                   Poco::toLower(field.value).find("close") !=
                       std::string::npos;
        });
}

/// Returns `request` as it goes out to `address`.
OutgoingCall
outgoing(const HttpRequest& request, const std::string& address)
{
    OutgoingCall call{request.method, request.path, request.headers};
    const bool has_host = std::any_of(
        call.headers.begin(), call.headers.end(), [](const HeaderField& field) {
            return Poco::icompare(field.name, "Host") == 0;
        });
    if (!has_host)
        call.headers.push_back({"Host", address});
    return call;
}

/// Feeds `sink` with the lines that `buffer` begins with. Returns false once
/// the sink does.
bool
take_lines(AnswerBuffer& buffer, const HttpClient::LineSink& sink)
{
    for (std::string line; buffer.take_line(line);)
        if (!sink(line))
            return false;
    return true;
}

bool
is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

} // namespace

/// One connection, whose peer may fall silent for `receive_time` at a time.
class HttpClient::Connection
{
public:
    Connection(const std::string& address, Micros connect_time)
        : m_connection(address, connect_time, SingleFields::of_http())
    {
    }

    void send(const OutgoingCall& call, std::string_view body,
              Micros receive_time)
    {
        m_receive_time = receive_time;
        wait_anew();
        m_connection.send(call, body);
    }
    RawHead receive_head()
    {
        wait_for_bytes();
        return m_connection.receive_head();
    }
    /// Returns some bytes of the body; none at its end.
    std::string read_some()
    {
        if (m_connection.ended())
            return {};
        wait_for_bytes();
        return m_connection.read_some();
    }
    /// Returns the body. Throws where it did not come whole, or is larger than
    /// `limit`.
    std::string read_all(const AnswerLimit& limit)
    {
        const TimePoint latest = monotonic_now() + limit.max_body_time;
        AnswerBuffer body(limit.max_bytes);
        for (std::string bytes = read_some(); !bytes.empty();
             bytes = read_some()) {
            body.add(bytes);
            if (monotonic_now() >= latest)
                throw Poco::TimeoutException("the answer does not end");
        }
        if (!is_whole())
            throw Poco::Net::MessageException("the answer was cut short");
        return body.take_all();
    }
    bool is_whole() const { return m_connection.whole(); }
    bool can_be_used_again() const
    {
        return m_connection.ended() && m_connection.quiet();
    }

    TimePoint idle_since{};

private:
    /// A head, or a piece of a body, may take longer to begin than to come.
    void wait_for_bytes()
    {
        wait_anew();
        if (m_connection.wait(m_receive_time) == CallConnection::Wait::TimedOut)
            throw Poco::TimeoutException("nothing came");
        wait_anew();
    }
    void wait_anew()
    {
        m_connection.watch(no_caller, monotonic_now() + m_receive_time);
    }

    CallConnection m_connection;
    Micros m_receive_time{0};
};

HttpClient::HttpClient(std::string address, HttpTimeouts timeouts,
                       AnswerLimit limit)
    : m_address(std::move(address)), m_timeouts(timeouts), m_limit(limit)
{
}

HttpClient::~HttpClient() = default;

HttpClient::Session
HttpClient::connect()
{
    return std::make_unique<Connection>(m_address, m_timeouts.connect);
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
            if (now - session->idle_since < keep_alive &&
                session->can_be_used_again())
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
    session->send(outgoing(request, m_address), request.body,
                  request.receive_timeout.value_or(m_timeouts.receive));
    m_bytes += request.body.size();
    return session;
}

HttpAnswer
HttpClient::exchange(const HttpRequest& request, bool fresh_connection)
{
    RunState state = RunState::NotDispatched;
    try {
        Session session = begin(request, fresh_connection, state);
        const RawHead head = session->receive_head();
        HttpAnswer answer = answer_of(head, request);
        answer.body = session->read_all(m_limit);
        m_bytes += answer.body.size();
        if (!fresh_connection && is_kept(head))
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
        const RawHead head = session->receive_head();
        HttpAnswer answer = answer_of(head, request);
        if (!is_success(answer.status)) {
            answer.body = session->read_all(m_limit);
            return answer;
        }
        AnswerBuffer rest(m_limit.max_bytes);
        for (std::string bytes = session->read_some(); !bytes.empty();
             bytes = session->read_some()) {
            m_bytes += bytes.size();
            rest.add(bytes);
            if (!take_lines(rest, on_line))
                return answer;
        }
        // The lines tell by themselves whether all have come.
        if (!session->is_whole())
            return answer;
        const std::string last = rest.take_all();
        if (!last.empty() && !on_line(last))
            return answer;
        if (is_kept(head))
            put_back(std::move(session));
        return answer;
    } catch (const Poco::Exception& failure) {
        drop_kept();
        fail(failure, state);
    }
}

} // namespace crosslink
