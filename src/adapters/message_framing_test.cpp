// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "message_framing.h"

#include <Poco/Net/HTTPRequest.h>

#include <catch2/catch.hpp>

#include <initializer_list>
#include <string>
#include <utility>

namespace crosslink
{

namespace
{

std::optional<MessageFraming>
framing(std::initializer_list<std::pair<std::string, std::string>> fields,
        const std::string& version = "HTTP/1.1")
{
    Poco::Net::HTTPRequest message(version);
    for (const auto& [name, value] : fields)
        message.add(name, value);
    return MessageFraming::of(message);
}

} // namespace

TEST_CASE("a length or chunks tell the end of a body")
{
    REQUIRE(framing({}));
    CHECK_FALSE(framing({})->length);
    CHECK_FALSE(framing({})->chunked);
    CHECK(framing({{"content-length", "070"}})->length == 70);
    CHECK(framing({{"Content-Length", "0"}})->length == 0);
    CHECK(framing({{"TRANSFER-encoding", "Chunked"}})->chunked);
}

TEST_CASE("what tells two ends of a body is refused")
{
    CHECK_FALSE(framing({{"Content-Length", "1"}, {"Content-Length", "1"}}));
    CHECK_FALSE(framing({{"Content-Length", "1"}, {"content-length", "2"}}));
    CHECK_FALSE(
        framing({{"Content-Length", "1"}, {"Transfer-Encoding", "chunked"}}));
    CHECK_FALSE(framing(
        {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}));
}

TEST_CASE("HTTP/1.0 has lengths and no chunks")
{
    CHECK(framing({{"Content-Length", "7"}}, "HTTP/1.0")->length == 7);
    CHECK_FALSE(framing({{"Transfer-Encoding", "chunked"}}, "HTTP/1.0"));
}

TEST_CASE("a length that is no number, and other codings, are refused")
{
    for (const char* text :
         {"", "+1", "-1", "1, 1", "1 1", "0x1", "1a", "99999999999999999999"})
        CHECK_FALSE(framing({{"Content-Length", text}}));
    for (const char* text : {"", "gzip", "gzip, chunked", "chunked, chunked",
                             "xchunked", "chunked;a=b", "identity"})
        CHECK_FALSE(framing({{"Transfer-Encoding", text}}));
}

} // namespace crosslink
