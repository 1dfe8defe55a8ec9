// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <string_view>

namespace crosslink
{

namespace
{

constexpr int success = 200;
/// More than the buffers of two sockets take.
constexpr std::size_t large_bytes = 32U << 20U;
/// Only an answer that never ends is waited for so long.
constexpr auto far_off = std::chrono::seconds(60);

constexpr std::string_view two_requests = "GET /large HTTP/1.1\r\n"
                                          "Host: a\r\n\r\n"
                                          "GET /next HTTP/1.1\r\n"
                                          "Host: a\r\n\r\n";

/// Returns all that comes until the connection ends.
std::string
read_all(Poco::Net::StreamSocket& socket)
{
    std::string all;
    std::string piece(1U << 20U, '\0');
    try {
        while (const int count = socket.receiveBytes(
                   piece.data(), static_cast<int>(piece.size())))
            all.append(piece, 0, static_cast<std::size_t>(count));
    } catch (const Poco::Exception&) {
        // A connection that is reset ends as well.
        return all;
    }
    return all;
}

Poco::Net::StreamSocket
call(const HttpServer& server)
{
    constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n"
                                         "Connection: close\r\n\r\n";
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(server.address())};
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    return caller;
}

} // namespace

TEST_CASE("callers beyond the queue are turned away while others wait")
{
    HttpServerRules rules;
    rules.most_threads = 1;
    rules.most_queued = 1;
    std::promise<void> busy;
    std::promise<void> go_on;
    const std::shared_future<void> may_go_on(go_on.get_future());
    std::atomic<int> served{0};
    HttpServer server("127.0.0.1:0", rules, [&](auto&, auto& answer) {
        if (served++ == 0)
            busy.set_value();
        may_go_on.wait();
        send_answer(answer, success, "text/plain", "a");
    });
    Poco::Net::StreamSocket first = call(server);
    REQUIRE(busy.get_future().wait_for(far_off) == std::future_status::ready);
    Poco::Net::StreamSocket queued = call(server);
    for (int i = 0; i < 3; ++i) {
        Poco::Net::StreamSocket late = call(server);
        CHECK(read_all(late).empty());
    }
    go_on.set_value();
    CHECK(read_all(first).rfind("HTTP/1.1 200") == 0);
    CHECK(read_all(queued).rfind("HTTP/1.1 200") == 0);
    CHECK(served == 2);
}

TEST_CASE("an answer that its caller does not take ends with its connection")
{
    HttpServerRules rules;
    rules.receive_seconds = 1;
    std::promise<void> ended;
    HttpServer server(
        "127.0.0.1:0", rules, [&ended](auto& request, auto& answer) {
            const bool large = request.getURI() == "/large";
            send_answer(answer, success, "text/plain",
                        std::string(large ? large_bytes : 1, 'a'));
            if (large)
                ended.set_value();
        });
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(server.address())};
    caller.sendBytes(two_requests.data(),
                     static_cast<int>(two_requests.size()));
    REQUIRE(ended.get_future().wait_for(far_off) == std::future_status::ready);
    const std::string all = read_all(caller);
    CHECK(all.size() < large_bytes);
    CHECK(all.rfind("HTTP/1.1") == 0);
}

} // namespace crosslink
