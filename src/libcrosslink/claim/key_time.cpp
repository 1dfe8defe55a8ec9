// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/claim/key_time.h>

#include <cctype>
#include <charconv>
#include <string>

namespace crosslink
{

namespace
{

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_index = 14;
constexpr std::size_t time_digits = 12;
constexpr int hexadecimal = 16;

bool
is_uuid(std::string_view key)
{
    if (key.size() != uuid_length)
        return false;
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? key[i] != '-'
                 : !std::isxdigit(static_cast<unsigned char>(key[i])))
            return false;
    }
    return true;
}

} // namespace

std::optional<UnixMillis>
key_time_of(std::string_view key)
{
    if (!is_uuid(key) || key[version_index] != '7')
        return std::nullopt;
    std::string digits(key.substr(0, 8));
    digits += key.substr(9, time_digits - digits.size());
    UnixMillis millis = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), millis,
                    hexadecimal);
    return millis;
}

} // namespace crosslink
