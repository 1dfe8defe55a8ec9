// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <charconv>
#include <cmath>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace crosslink
{

namespace pvt
{

/// The number at the beginning of a text, and the text after it.
template<std::integral Number> struct NumberAndRest {
    Number number{};
    std::string_view rest;
};

template<std::integral Number>
std::optional<NumberAndRest<Number>>
split_number(std::string_view text)
{
    const char* end = text.data() + text.size();
    Number number{};
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc())
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return NumberAndRest<Number>{number, text};
}

} // namespace pvt

/// Returns the decimal integer at the beginning of `text`, whatever follows it;
/// nothing where there is none, or one out of the range of Number.
template<std::integral Number>
std::optional<Number>
parse_leading_integer(std::string_view text)
{
    const auto found = pvt::split_number<Number>(text);
    return found ? std::optional(found->number) : std::nullopt;
}

/// Returns the decimal integer that `text` consists of; nothing where it is
/// none, or out of the range of Number.
template<std::integral Number>
std::optional<Number>
parse_integer(std::string_view text)
{
    const auto found = pvt::split_number<Number>(text);
    return found && found->rest.empty() ? std::optional(found->number)
                                        : std::nullopt;
}

/// Returns the finite number of at least 0 that `text` consists of, in decimal
/// notation without exponent; nothing for any other text.
inline std::optional<double>
decimal_number(std::string_view text)
{
    const char* end = text.data() + text.size();
    double number = 0;
    const auto result =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool whole = result.ec == std::errc() && result.ptr == end;
    if (!whole || !std::isfinite(number) || number < 0)
        return std::nullopt;
    return number;
}

/// Returns `text` without leading spaces.
inline std::string_view
without_leading_spaces(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    return text;
}

/// Returns `text` without leading and trailing spaces.
inline std::string_view
trim_spaces(std::string_view text)
{
    text = without_leading_spaces(text);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

} // namespace crosslink
