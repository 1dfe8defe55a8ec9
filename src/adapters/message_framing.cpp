// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "message_framing.h"

#include <crosslink/base/number.h>

#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <string>

namespace crosslink
{

namespace
{

/// Longer lengths could be read in two ways, and no body has one.
constexpr std::size_t most_digits = 18;

std::optional<std::uint64_t>
parse_length(const std::string& text)
{
    if (text.empty() || text.size() > most_digits ||
        text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return parse_integer<std::uint64_t>(text);
}

} // namespace

std::optional<MessageFraming>
MessageFraming::of(const Poco::Net::HTTPMessage& message)
{
    MessageFraming framing;
    int fields = 0;
    for (const auto& [name, value] : message) {
        if (Poco::icompare(name, "Content-Length") == 0) {
            ++fields;
            framing.length = parse_length(value);
            if (!framing.length)
                return std::nullopt;
        } else if (Poco::icompare(name, "Transfer-Encoding") == 0) {
            ++fields;
            framing.chunked =
                Poco::icompare(value, "chunked") == 0 &&
                message.getVersion() != Poco::Net::HTTPMessage::HTTP_1_0;
            if (!framing.chunked)
                return std::nullopt;
        }
    }
    if (fields > 1)
        return std::nullopt;
    return framing;
}

} // namespace crosslink
