// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "connection_times.h"
#include "http_server.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace crosslink
{

namespace
{

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

template<typename Condition>
void
wait_until(Condition condition)
{
    while (!condition())
        std::this_thread::yield();
}

/// A connection to a server.
class Caller
{
public:
    explicit Caller(const HttpServer& server)
        : m_socket(Poco::Net::SocketAddress(server.address()))
    {
    }

    void send(std::string_view bytes)
    {
        m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    /// Reads until `end` came in, or until the connection is closed.
    std::string read_until(std::string_view end)
    {
        std::string text;
        std::vector<char> piece(65'536);
        while (!text.ends_with(end) || end.empty()) {
            const int count = m_socket.receiveBytes(
                piece.data(), static_cast<int>(piece.size()));
            if (count <= 0)
                break;
            text.append(piece.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    Poco::Net::StreamSocket m_socket;
};

/// Sends until no byte fits any more.
void
fill(Poco::Net::HTTPServerRequest& to)
{
    const auto socket =
        static_cast<int>(static_cast<Poco::Net::HTTPServerRequestImpl&>(to)
                             .socket()
                             .impl()
                             ->sockfd());
    const std::string bytes(65'536, 'x');
    for (std::size_t size = bytes.size(); size > 0; size /= 2)
        while (::send(socket, bytes.data(), size, MSG_DONTWAIT) > 0) {
        }
}

} // namespace

TEST_CASE("a request is open until the end of its answer is out")
{
    std::atomic<bool> returned{false};
    HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
        answer.setChunkedTransferEncoding(true);
        std::ostream& out = answer.send();
        fill(asked);
        out << "last";
        returned = true;
    });
    Caller caller(server);
    caller.send(request);
    wait_until([&] { return returned.load(); });
    // The end can't go out before the caller reads.
    CHECK(server.open_requests() == 1);
    CHECK_THAT(caller.read_until("0\r\n\r\n"),
               Catch::EndsWith("4\r\nlast\r\n0\r\n\r\n"));
    wait_until([&] { return server.open_requests() == 0; });
}

TEST_CASE("connections that rest are closed once no request is read")
{
    std::atomic<int> handled{0};
    HttpServerRules rules;
    rules.times->change({std::chrono::hours(1), std::chrono::hours(1)});
    HttpServer server("127.0.0.1:0", rules, [&](auto&, auto& answer) {
        ++handled;
        send_answer(answer, 200, "text/plain", "done");
    });
    Caller caller(server);
    caller.send(request);
    CHECK_THAT(caller.read_until("done"), Catch::EndsWith("done"));
    server.stop_reading();
    CHECK(caller.read_until("").empty());
    CHECK(server.open_requests() == 0);
    CHECK(handled == 1);
}

TEST_CASE("fields of a request come in as they were sent")
{
    std::string value;
    HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
        value = asked.get("X-Nota", "");
        send_answer(answer, 200, "text/plain", "done");
    });
    // Both come at once: the second one is in the session's buffer.
    const std::string one = "GET / HTTP/1.1\r\nHost: a\r\nX-Nota: ";
    const std::string note = "=?UTF-8?Q?a=0D=0A=0D=0Ab?=";
    Caller caller(server);
    caller.send(one + "first\r\nContent-Length: 0\r\n\r\n" + one + note +
                "\r\nConnection: close\r\n\r\n");
    caller.read_until("");
    CHECK(value == note);
}

TEST_CASE("a head of any length comes in whole or is refused")
{
    constexpr std::size_t most = 4200;
    for (std::size_t length = 4000; length < most; ++length) {
        std::string value;
        HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
            value = asked.get("X-Nota", "");
            send_answer(answer, 200, "text/plain", "done");
        });
        const std::string note(length, 'x');
        Caller caller(server);
        caller.send("GET / HTTP/1.1\r\nX-Nota: " + note +
                    "\r\nConnection: close\r\n\r\n");
        const std::string answer = caller.read_until("");
        if (answer.starts_with("HTTP/1.1 200"))
            CHECK(value == note);
        else
            CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 400"));
    }
}

TEST_CASE("a malformed head is refused before its request runs")
{
    using namespace std::string_literals;
    std::atomic<int> handled{0};
    HttpServer server("127.0.0.1:0", {}, [&](auto&, auto& answer) {
        ++handled;
        send_answer(answer, 200, "text/plain", "done");
    });
    for (const std::string& lines :
         {"X-Nota : a\r\n"s, "X-Nota\r\n"s, ": a\r\n"s, "X-Nota: a\r\n b\r\n"s,
          "X-Nota: a\0b\r\n"s, "X-Nota: a\rb\r\n"s, "X-Nota: a\n"s, "a\n"s,
          "X-Nota: a\x01\r\n"s, "Content-Length: =?UTF-8?Q?0?=\r\n"s,
          "Host: =?UTF-8?Q?b?=\r\n"s}) {
        Caller caller(server);
        caller.send("GET / HTTP/1.1\r\n" + lines + "\r\n");
        CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 400"));
    }
    for (const std::string& line :
         {"GET /\0a HTTP/1.1"s, "GET /\x01 HTTP/1.1"s, "G(T / HTTP/1.1"s,
          "GET  / HTTP/1.1"s, "GET / HTTP/1.1 a"s}) {
        Caller caller(server);
        caller.send(line + "\r\nHost: a\r\n\r\n");
        CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 400"));
    }
    CHECK(handled == 0);
}

} // namespace crosslink
