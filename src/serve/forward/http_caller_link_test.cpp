// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "http_caller_link.h"

#include <adapters/http_server.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace crosslink
{

namespace
{

/// Returns all bytes that a caller gets for `request` where `serve` answers.
std::string
answer_to(std::string_view request,
          const std::function<void(CallerLink& link)>& serve)
{
    HttpServer server("127.0.0.1:0", {}, [&](auto& asked, auto& answer) {
        HttpCallerLink link(asked, answer);
        serve(link);
    });
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server.address())};
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string text;
    std::array<char, 4096> piece{};
    for (;;) {
        const int count = socket.receiveBytes(piece.data(), piece.size());
        if (count <= 0)
            return text;
        text.append(piece.data(), static_cast<std::size_t>(count));
    }
}

constexpr std::string_view request =
    "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
constexpr std::string_view old_request = "GET / HTTP/1.0\r\n\r\n";

} // namespace

TEST_CASE("an answer that was finished ends as complete")
{
    const std::string answer = answer_to(request, [](CallerLink& link) {
        link.begin(200, {});
        link.send("part");
        link.finish();
    });
    CHECK_THAT(answer, Catch::EndsWith("4\r\npart\r\n0\r\n\r\n"));
}

// Regression: POCO ends an answer that nobody ended as complete.
TEST_CASE("an answer that was not ended can't be taken for complete")
{
    const std::string answer = answer_to(request, [](CallerLink& link) {
        link.begin(200, {});
        link.send("part");
    });
    CHECK_THAT(answer, Catch::EndsWith("4\r\npart\r\n"));
}

TEST_CASE("an answer that was not ended is reset for a caller of HTTP/1.0")
{
    const auto serve = [](CallerLink& link) {
        link.begin(200, {});
        link.send("part");
    };
    CHECK_THROWS_AS(answer_to(old_request, serve), Poco::Exception);
    CHECK_THAT(answer_to(old_request,
                         [&](CallerLink& link) {
                             serve(link);
                             link.finish();
                         }),
               Catch::EndsWith("\r\n\r\npart"));
}

TEST_CASE("an answer to HEAD tells no length of its own")
{
    const std::string answer =
        answer_to("HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n",
                  [](CallerLink& link) { link.answer(200, {}, ""); });
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
    CHECK_THAT(answer, !Catch::Contains("Content-Length"));
}

TEST_CASE("an answer has one date")
{
    const std::array headers{HeaderField{"date", "then"}};
    const std::string answer = answer_to(
        request, [&](CallerLink& link) { link.answer(200, headers, "a"); });
    CHECK_THAT(answer, Catch::Contains("date: then"));
    CHECK_THAT(answer, !Catch::Contains("Date: "));
}

} // namespace crosslink
