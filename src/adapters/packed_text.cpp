// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "packed_text.h"

#include <crosslink/base/error.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace crosslink
{

namespace
{

/// The level of zlib that takes least time.
constexpr int fastest_level = 1;

} // namespace

std::string
pack_text(std::string_view text)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    Poco::DeflatingOutputStream deflater(
        encoder, Poco::DeflatingStreamBuf::STREAM_ZLIB, fastest_level);
    deflater.write(text.data(), static_cast<std::streamsize>(text.size()));
    deflater.close();
    encoder.close();
    return out.str();
}

std::string
unpack_text(std::string_view packed, std::size_t most_bytes)
{
    try {
        std::istringstream in{std::string(packed)};
        Poco::Base64Decoder decoder(in);
        Poco::InflatingInputStream inflater(
            decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::string text;
        std::array<char, 65'536> piece{};
        while (inflater.read(piece.data(), piece.size()) ||
               inflater.gcount() > 0) {
            text.append(piece.data(),
                        static_cast<std::size_t>(inflater.gcount()));
            if (text.size() > most_bytes)
                throw Error(ErrorCode::BadJson, "the packed text is too long");
        }
        if (inflater.bad() || text.empty())
            throw Error(ErrorCode::BadJson, "the packed text is malformed");
        return text;
    } catch (const Poco::Exception& failure) {
        throw Error(ErrorCode::BadJson,
                    "the packed text is malformed: " + failure.displayText());
    }
}

} // namespace crosslink
