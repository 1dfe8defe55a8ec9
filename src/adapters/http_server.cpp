// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "http_server.h"

#include "chunk_decoder.h"
#include "server_connection.h"
#include "server_request.h"
#include "server_session.h"

#include <crosslink/base/error.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace crosslink
{

namespace
{

constexpr int backlog = 1024;
constexpr int idle_thread_seconds = 30;
/// Threads that wait for connections at all times; more come with these.
constexpr int least_threads = 1;
constexpr int thread_stack_bytes = 512 * 1024;

/// Connections beyond this part of the threads are not kept after their answer,
/// so that those which rest never keep new ones from being served.
constexpr int kept_parts = 3;
constexpr int all_parts = 4;

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ConnectionFactory(ServerShared& shared) : m_shared(shared) {}

    Poco::Net::TCPServerConnection*
    createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new ServerConnection(socket, m_shared);
    }

private:
    ServerShared& m_shared;
};

Poco::Net::HTTPServerParams::Ptr
parameters(const HttpServerRules& rules)
{
    Poco::Net::HTTPServerParams::Ptr result = new Poco::Net::HTTPServerParams;
    result->setMaxThreads(rules.most_threads);
    result->setMaxQueued(rules.most_queued);
    result->setTimeout(Poco::Timespan(rules.receive_seconds, 0));
    return result;
}

/// Sets what ends a connection whose other side has fallen silent, for all that
/// `socket` takes: they inherit it. Else an answer that is not taken keeps its
/// thread, and a call goes on for a caller that is long gone.
void
set_liveness(Poco::Net::ServerSocket& socket, int seconds)
{
    constexpr int millis_in_second = 1000;
    socket.setSendTimeout(Poco::Timespan(seconds, 0));
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, std::max(seconds / 2, 1));
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, seconds * millis_in_second);
}

Poco::Net::ServerSocket
bound_socket(const std::string& address, const HttpServerRules& rules)
{
    try {
        Poco::Net::ServerSocket socket = make_server_socket();
        // Not the port: two programs would share its connections.
        socket.bind(Poco::Net::SocketAddress(address), true, false);
        set_liveness(socket, rules.receive_seconds);
        socket.listen(backlog);
        return socket;
    } catch (const Poco::Exception& failure) {
        throw Error(ErrorCode::SettingsInvalid, "can't listen on " + address +
                                                    ": " +
                                                    failure.displayText());
    }
}

/// Reads the body of one request.
class RequestBody
{
public:
    RequestBody(Poco::Net::HTTPServerRequest& request, std::uint64_t most_bytes,
                const PieceObserver& observe)
        : m_request(request), m_most_bytes(most_bytes), m_observe(observe),
          m_session(ServerRequest::from(request).session())
    {
    }

    std::string read_length()
    {
        const auto length =
            static_cast<std::uint64_t>(m_request.getContentLength64());
        check_size(length);
        while (m_body.size() < length)
            add(next(static_cast<std::size_t>(length) - m_body.size()));
        return std::move(m_body);
    }

    std::string read_chunks()
    {
        ChunkDecoder chunks;
        while (chunks.wanted() > 0) {
            std::string data;
            chunks.take(next(chunks.wanted()), data);
            add(data);
        }
        if (!chunks.is_done())
            throw Error(ErrorCode::BadRequest, "the body is in no chunks");
        return std::move(m_body);
    }

private:
    /// Returns the next bytes, `most` at most. Throws Error where none come.
    std::string next(std::size_t most)
    {
        try {
            std::string bytes =
                m_session.read_body(std::min(most, piece_bytes));
            if (!bytes.empty())
                return bytes;
        } catch (const Poco::TimeoutException&) {
            throw Error(ErrorCode::RequestTimeout, "the body pauses");
        } catch (const Poco::Exception& failure) {
            throw Error(ErrorCode::BadRequest, failure.displayText());
        }
        throw Error(ErrorCode::BadRequest, "the body ended early");
    }

    void add(const std::string& data)
    {
        if (m_observe && !data.empty())
            m_observe(data.size());
        m_body += data;
        check_size(m_body.size());
    }

    void check_size(std::uint64_t bytes) const
    {
        if (bytes > m_most_bytes)
            throw Error(ErrorCode::BodyTooLarge,
                        "the body is larger than " +
                            std::to_string(m_most_bytes) + " bytes");
    }

    static constexpr std::size_t piece_bytes = 65'536;

    const Poco::Net::HTTPServerRequest& m_request;
    const std::uint64_t m_most_bytes;
    const PieceObserver& m_observe;
    ServerSession& m_session;
    std::string m_body;
};

} // namespace

class HttpServer::Impl
{
public:
    Impl(const std::string& address, const HttpServerRules& rules,
         Handler handler)
        : pool(least_threads, rules.most_threads, idle_thread_seconds,
               thread_stack_bytes),
          socket(bound_socket(address, rules)),
          server(new ConnectionFactory(shared), pool, socket, parameters(rules))
    {
        shared.handler = std::move(handler);
        shared.times = rules.times;
        shared.single_fields = rules.single_fields;
        shared.parameters = parameters(rules);
        shared.most_kept = static_cast<std::uint32_t>(rules.most_threads) *
                           kept_parts / all_parts;
        server.start();
    }

    ServerShared shared;
    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    Poco::Net::TCPServer server;
};

HttpServer::HttpServer(const std::string& address, const HttpServerRules& rules,
                       Handler handler)
    : m_impl(std::make_unique<Impl>(address, rules, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_impl->server.stop();
    stop_reading();
    m_impl->pool.joinAll();
}

std::string
HttpServer::address() const
{
    return m_impl->socket.address().toString();
}

void
HttpServer::close_after_answers()
{
    m_impl->shared.closing = true;
}

void
HttpServer::stop_listening()
{
    m_impl->server.stop();
    // Else the kernel goes on taking connections that nobody serves.
    m_impl->socket.close();
}

void
HttpServer::stop_reading()
{
    m_impl->shared.stopped = true;
    m_impl->shared.times->wake();
}

std::uint32_t
HttpServer::open_requests() const
{
    return m_impl->shared.requests;
}

std::string
read_body(Poco::Net::HTTPServerRequest& request, std::uint64_t most_bytes,
          const PieceObserver& observe)
{
    RequestBody body(request, most_bytes, observe);
    if (request.getChunkedTransferEncoding())
        return body.read_chunks();
    // Without either, a request has no body (RFC 9112, 6.3).
    return request.hasContentLength() ? body.read_length() : std::string();
}

void
send_answer(Poco::Net::HTTPServerResponse& answer, int status,
            std::string_view content_type, std::string_view body)
{
    answer.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    answer.setContentType(std::string(content_type));
    answer.sendBuffer(body.data(), body.size());
}

void
send_json(Poco::Net::HTTPServerResponse& answer, int status,
          const Json::Value& body)
{
    send_answer(answer, status, "application/json", json_text(body));
}

} // namespace crosslink
