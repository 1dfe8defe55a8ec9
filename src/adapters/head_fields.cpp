// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "head_fields.h"

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";
/// In names of hosts, addresses and ports, beside letters and digits.
constexpr std::string_view host_marks = "-._~%!$&'()*+,;=:[]";
constexpr std::string_view white_space = " \t";

bool
is_letter_or_digit(char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= 'a' && byte <= 'z');
}

bool
is_token_byte(char byte)
{
    return is_letter_or_digit(byte) ||
           token_marks.find(byte) != std::string_view::npos;
}

bool
is_host_byte(char byte)
{
    return is_letter_or_digit(byte) ||
           host_marks.find(byte) != std::string_view::npos;
}

bool
is_text_byte(char byte)
{
    constexpr unsigned char first_visible = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto number = static_cast<unsigned char>(byte);
    return byte == '\t' || (number >= first_visible && number != del);
}

std::string_view
without_white_space(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(white_space);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(white_space) - begin + 1);
}

/// Takes the first line, without its end, from `rest`; nothing where none ends.
std::optional<std::string_view>
take_line(std::string_view& rest)
{
    const std::size_t end = rest.find(line_end);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + line_end.size());
    return line;
}

} // namespace

std::optional<HeadFields>
HeadFields::parse(std::string_view head)
{
    HeadFields parsed;
    const auto start = take_line(head);
    if (!start || start->empty() || !is_text(*start))
        return std::nullopt;
    parsed.m_start_line = *start;
    for (;;) {
        const auto line = take_line(head);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        if (!parsed.add(*line))
            return std::nullopt;
    }
    if (!head.empty())
        return std::nullopt;
    return parsed;
}

/// Returns false if `line` is no field.
bool
HeadFields::add(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view value = without_white_space(line.substr(colon + 1));
    m_fields.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
    return is_valid(m_fields.back());
}

bool
HeadFields::is_token(std::string_view name)
{
    return !name.empty() &&
           std::all_of(name.begin(), name.end(), is_token_byte);
}

bool
HeadFields::is_text(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), is_text_byte);
}

bool
HeadFields::is_host(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), is_host_byte);
}

bool
HeadFields::is_valid(const HeaderField& field)
{
    return is_token(field.name) && is_text(field.value);
}

} // namespace crosslink
