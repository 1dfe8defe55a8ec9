// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "start_line.h"

#include <catch2/catch.hpp>

#include <string>

using namespace crosslink;

TEST_CASE("a request line is read as it was sent")
{
    const auto line = RequestLine::parse("POST /a?b=\xff HTTP/1.1");
    REQUIRE(line);
    CHECK(line->method == "POST");
    CHECK(line->target == "/a?b=\xff");
    CHECK(line->version.read_as() == "HTTP/1.1");
    CHECK(RequestLine::parse("GET / HTTP/1.0")->version.read_as() ==
          "HTTP/1.0");
    CHECK(RequestLine::parse("GET / HTTP/1.9")->version.read_as() ==
          "HTTP/1.1");
}

TEST_CASE("a malformed request line is none")
{
    for (const std::string line :
         {"", "GET", "GET /", "GET / ", " GET / HTTP/1.1", "GET  / HTTP/1.1",
          "GET / HTTP/1.1 ", "GET / HTTP/1.1 a", "GET / a HTTP/1.1",
          "GET /\ta HTTP/1.1", "G(T / HTTP/1.1", "GET / http/1.1",
          "GET / HTTP/1", "GET / HTTP/11", "GET / HTTP/1.10", "GET / HTTP/a.1",
          "GET / HTTPS/1.1", "GET / FOO/1.1"})
        CHECK_FALSE(RequestLine::parse(line));
}

TEST_CASE("only versions of HTTP/1 are supported")
{
    for (const std::string text : {"HTTP/1.0", "HTTP/1.1", "HTTP/1.2"})
        CHECK(HttpVersion::parse(text)->is_supported());
    for (const std::string text : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9"})
        CHECK_FALSE(HttpVersion::parse(text)->is_supported());
}

TEST_CASE("a status line is read as it was sent")
{
    const auto line = StatusLine::parse("HTTP/1.1 404 Not here ");
    REQUIRE(line);
    CHECK(line->status == 404);
    CHECK(line->reason == "Not here ");
    CHECK(StatusLine::parse("HTTP/1.1 200 ")->reason.empty());
    CHECK(StatusLine::parse("HTTP/1.1 200")->status == 200);
}

TEST_CASE("a malformed status line is none")
{
    for (const std::string line :
         {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  200 OK", "HTTP/1.1 20 OK",
          "HTTP/1.1 2000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
          "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "FOO 200 OK", "200 OK",
          " HTTP/1.1 200 OK"})
        CHECK_FALSE(StatusLine::parse(line));
}
