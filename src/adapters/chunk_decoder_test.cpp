// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "chunk_decoder.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace crosslink;

namespace
{

struct Decoded {
    std::string data;
    std::string rest; ///< Bytes that were not taken.
    bool is_done = false;
    bool is_malformed = false;
};

/// Decodes `body` in pieces of `piece` bytes at most.
Decoded
decode(std::string_view body, std::size_t piece = 1000)
{
    ChunkDecoder decoder;
    Decoded result;
    while (decoder.wanted() > 0 && !body.empty()) {
        const std::size_t count =
            std::min({decoder.wanted(), body.size(), piece});
        decoder.take(body.substr(0, count), result.data);
        body.remove_prefix(count);
    }
    result.rest = body;
    result.is_done = decoder.is_done();
    result.is_malformed = decoder.is_malformed();
    return result;
}

std::string
in_chunks(const std::vector<std::string>& pieces)
{
    std::string body;
    for (const std::string& piece : pieces) {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        body += size + piece + "\r\n";
    }
    return body + "0\r\n\r\n";
}

} // namespace

TEST_CASE("a chunked body that is cut at any byte is not whole")
{
    // The second chunk's data and end are what ends a body.
    const std::string body =
        in_chunks({"caldo;40\r\n", "0\r\n", "\r\n0\r\n\r\n", "0"});
    for (std::size_t cut = 0; cut < body.size(); ++cut)
        for (const std::size_t piece : {1U, 3U, 1000U}) {
            const Decoded part = decode(body.substr(0, cut), piece);
            CHECK_FALSE(part.is_done);
            CHECK_FALSE(part.is_malformed);
        }
    const Decoded whole = decode(body);
    CHECK(whole.is_done);
    CHECK(whole.data == "caldo;40\r\n0\r\n\r\n0\r\n\r\n0");
}

TEST_CASE("extensions and trailer fields are passed over")
{
    const Decoded found = decode(
        "A \t;name=\"x\"\r\n0123456789\r\n000 \r\nExpires: 0\r\nX: y\r\n\r\n");
    CHECK(found.is_done);
    CHECK(found.data == "0123456789");
}

TEST_CASE("bytes after a chunked body are left")
{
    const Decoded found = decode("1\r\na\r\n0\r\n\r\nHTTP/1.1 200 OK");
    CHECK(found.is_done);
    CHECK(found.rest == "HTTP/1.1 200 OK");
}

TEST_CASE("what is no chunked body is malformed")
{
    for (const std::string body :
         {"\r\n", "x\r\n", "-1\r\n", "1\na\r\n", "1\r\nab\r\n",
          "1\r\na\n0\r\n\r\n", "1\r\na\r\r", "1\rx", "+1\r\n", "0\r\n\n",
          "2 2\r\n", "2 \t2;x\r\n", "0\r\nX: y\n", "1;a\nb\r\n",
          "ffffffffffffffffff\r\n"}) {
        const Decoded found = decode(body);
        CHECK(found.is_malformed);
        CHECK_FALSE(found.is_done);
    }
}

TEST_CASE("framing without end is malformed")
{
    const std::string much(20'000, '0');
    for (const std::string& body :
         {much, "1;" + much, "1\r\na\r\n0\r\nX: " + much}) {
        const Decoded found = decode(body);
        CHECK(found.is_malformed);
        CHECK_FALSE(found.rest.empty());
    }
    const std::string some(10'000, '0');
    CHECK(decode("1;" + some + "\r\na\r\n0;" + some + "\r\n\r\n").is_done);
}

TEST_CASE("data comes out of chunks of any size as it went in")
{
    CHECK(rc::check([](const std::vector<std::string>& drawn,
                       std::size_t size) {
        std::vector<std::string> pieces;
        std::string data;
        for (const std::string& piece : drawn)
            if (!piece.empty()) {
                pieces.push_back(piece);
                data += piece;
            }
        const Decoded found = decode(in_chunks(pieces) + "rest", 1 + size % 50);
        RC_ASSERT(found.is_done);
        RC_ASSERT(found.data == data);
        RC_ASSERT(found.rest == "rest");
    }));
}
