// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "connection_times.h"
#include "http_server.h"
#include "server_request.h"

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
    const int socket = ServerRequest::from(to).descriptor();
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

// Regression: a head with a line of 4,092 bytes was refused as malformed.
TEST_CASE("a head of any length comes in whole")
{
    constexpr std::size_t most = 4200;
    std::string value;
    HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
        value = asked.get("X-Nota", "");
        send_answer(answer, 200, "text/plain", "done");
    });
    for (std::size_t length = 4000; length < most; ++length) {
        const std::string note(length, 'x');
        Caller caller(server);
        caller.send("GET / HTTP/1.1\r\nX-Nota: " + note +
                    "\r\nConnection: close\r\n\r\n");
        CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 200"));
        CHECK(value == note);
    }
}

TEST_CASE("a head of many fields and of long ones comes in whole")
{
    constexpr int fields = 200;
    std::size_t found = 0;
    std::string value;
    HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
        found = asked.size();
        value = asked.get("X-Long", "");
        send_answer(answer, 200, "text/plain", "done");
    });
    const std::string text(10'000, 'x');
    std::string head = "GET / HTTP/1.1\r\nConnection: close\r\n";
    for (int i = 0; i < fields; ++i)
        head += "X-Nota: a\r\n";
    Caller caller(server);
    caller.send(head + "X-Long: " + text + "\r\n\r\n");
    CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 200"));
    CHECK(found == fields + 2);
    CHECK(value == text);
}

// Regression: where char is signed, the byte 255 was the connection's end.
TEST_CASE("a request comes in whole byte by byte")
{
    std::string value;
    std::string body;
    HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
        value = asked.get("X-Nota", "");
        body = read_body(asked, 100);
        send_answer(answer, 200, "text/plain", "done");
    });
    const std::string head = "POST / HTTP/1.1\r\nX-Nota: \xff\xc3\r\n"
                             "Connection: close\r\n";
    for (const std::string rest :
         {"Content-Length: 2\r\n\r\n\xff\xff",
          "Transfer-Encoding: chunked\r\n\r\n1\r\n\xff\r\n"
          "1\r\n\xff\r\n0\r\n\r\n"}) {
        Caller caller(server);
        for (const char byte : head + rest)
            caller.send({&byte, 1});
        CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 200"));
        CHECK(value == "\xff\xc3");
        CHECK(body == "\xff\xff");
    }
}

TEST_CASE("a request that may be read in two ways is refused")
{
    std::atomic<int> handled{0};
    HttpServer server("127.0.0.1:0", {}, [&](auto&, auto& answer) {
        ++handled;
        send_answer(answer, 200, "text/plain", "done");
    });
    for (const std::string lines :
         {"Host: a\r\nHost: a\r\n", "Content-Type: a\r\ncontent-type: b\r\n",
          "Authorization: a\r\nX-Nota: a\r\nAuthorization: b\r\n"}) {
        Caller caller(server);
        caller.send("GET / HTTP/1.1\r\n" + lines + "\r\n");
        CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 400"));
    }
    CHECK(handled == 0);
}

// Regression: HTTP/2.0 was served, and answered as HTTP/2.0.
TEST_CASE("a version that is not supported is refused")
{
    std::atomic<int> handled{0};
    HttpServer server("127.0.0.1:0", {}, [&](auto&, auto& answer) {
        ++handled;
        send_answer(answer, 200, "text/plain", "done");
    });
    for (const std::string version : {"HTTP/2.0", "HTTP/0.9", "HTTP/3.1"}) {
        Caller caller(server);
        caller.send("GET / " + version + "\r\nHost: a\r\n\r\n");
        CHECK_THAT(caller.read_until(""), Catch::StartsWith("HTTP/1.1 505"));
    }
    CHECK(handled == 0);
}

// Regression: a caller of HTTP/1.0 got the sizes of chunks among the body.
TEST_CASE("a body in pieces goes without chunks to a caller of HTTP/1.0")
{
    HttpServer server("127.0.0.1:0", {}, [&](auto&, auto& answer) {
        answer.setChunkedTransferEncoding(true);
        answer.send() << "pieces";
    });
    Caller caller(server);
    caller.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    const std::string answer = caller.read_until("");
    CHECK_THAT(answer, Catch::EndsWith("\r\n\r\npieces"));
    CHECK_THAT(answer, !Catch::Contains("chunked"));
}

TEST_CASE("an answer to HEAD has no body")
{
    HttpServer server("127.0.0.1:0", {}, [&](auto&, auto& answer) {
        send_answer(answer, 200, "text/plain", "done");
    });
    Caller caller(server);
    caller.send("HEAD / HTTP/1.1\r\n\r\n"
                "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = caller.read_until("");
    CHECK_THAT(answers, Catch::Contains("Content-Length: 4"));
    CHECK_THAT(answers, Catch::Contains("\r\n\r\nHTTP/1.1 200"));
    CHECK_THAT(answers, Catch::EndsWith("\r\n\r\ndone"));
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
