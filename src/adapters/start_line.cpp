// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "start_line.h"

#include "head_fields.h"

#include <crosslink/base/number.h>

#include <Poco/Net/HTTPMessage.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr char space = ' ';

bool
is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Takes what stands before the first space, and the space, from `rest`;
/// nothing where there is no space.
std::optional<std::string_view>
take_word(std::string_view& rest)
{
    const std::size_t end = rest.find(space);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return word;
}

bool
is_target(std::string_view text)
{
    return !text.empty() && HeadFields::is_text(text) &&
           text.find_first_of(" \t") == std::string_view::npos;
}

/// Returns the status that `text` is; nothing unless it has three digits and a
/// class (RFC 9110, 15).
std::optional<int>
parse_status(std::string_view text)
{
    constexpr std::size_t digits = 3;
    if (text.size() != digits || text.front() < '1' || text.front() > '5' ||
        !std::all_of(text.begin(), text.end(), is_digit))
        return std::nullopt;
    return parse_integer<int>(text);
}

} // namespace

std::optional<HttpVersion>
HttpVersion::parse(std::string_view text)
{
    constexpr std::string_view name = "HTTP/";
    if (!text.starts_with(name))
        return std::nullopt;
    text.remove_prefix(name.size());
    // Each number is one digit.
    constexpr std::size_t size = 3;
    if (text.size() != size || !is_digit(text[0]) || text[1] != '.' ||
        !is_digit(text[2]))
        return std::nullopt;
    return HttpVersion{text[0] - '0', text[2] - '0'};
}

const std::string&
HttpVersion::read_as() const
{
    return minor == 0 ? Poco::Net::HTTPMessage::HTTP_1_0
                      : Poco::Net::HTTPMessage::HTTP_1_1;
}

std::optional<RequestLine>
RequestLine::parse(std::string_view line)
{
    const auto method = take_word(line);
    const auto target = take_word(line);
    const auto version = HttpVersion::parse(line);
    if (!method || !HeadFields::is_token(*method) || !target ||
        !is_target(*target) || !version)
        return std::nullopt;
    return RequestLine{std::string(*method), std::string(*target), *version};
}

std::optional<StatusLine>
StatusLine::parse(std::string_view line)
{
    const auto first = take_word(line);
    if (!first)
        return std::nullopt;
    const auto version = HttpVersion::parse(*first);
    // Some senders leave out the space before an empty reason.
    const std::string_view code = line.substr(0, line.find(space));
    const auto status = parse_status(code);
    if (!version || !status)
        return std::nullopt;
    line.remove_prefix(std::min(line.size(), code.size() + 1));
    return StatusLine{*version, *status, std::string(line)};
}

} // namespace crosslink
