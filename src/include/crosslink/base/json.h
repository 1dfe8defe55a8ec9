// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <json/json.h>

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace crosslink
{

/// Parses `text` strictly (no comments, no duplicate fields, bounded depth).
/// Throws Error(BadJson) with the position of the error.
Json::Value parse_json(std::string_view text);
/// Returns `value` on one line, without spaces between tokens.
std::string json_text(const Json::Value& value);
/// Returns `value` on several indented lines, for people.
std::string json_pretty(const Json::Value& value);

/// Returns the string field `name`, or `fallback` where it is absent or is
/// not a string.
std::string json_string(const Json::Value& object, const char* name,
                        const std::string& fallback = {});
/// Returns the field `name` as an unsigned integer of 64 bits, or `fallback`.
std::uint64_t json_uint64(const Json::Value& object, const char* name,
                          std::uint64_t fallback = 0);
/// Returns the field `name` as an unsigned integer of 32 bits, or `fallback`. A
/// larger number is cut to its lowest 32 bits.
std::uint32_t json_uint32(const Json::Value& object, const char* name,
                          std::uint32_t fallback = 0);
/// Returns the field `name`, an integer of microseconds, or 0.
Micros json_micros(const Json::Value& object, const char* name);
/// Returns the number field `name`, or `fallback`.
double json_double(const Json::Value& object, const char* name,
                   double fallback = 0);
/// Returns the boolean field `name`, or `fallback`.
bool json_bool(const Json::Value& object, const char* name,
               bool fallback = false);

/// Returns an array with the result of `form` for each of `items`.
template<typename Items, typename Form>
Json::Value
json_list(const Items& items, const Form& form)
{
    Json::Value list(Json::arrayValue);
    for (const auto& item : items)
        list.append(form(item));
    return list;
}

/// Returns the result of `read` for each item of the array `list`; empty where
/// that is absent.
template<typename Read>
auto
list_from_json(const Json::Value& list, const Read& read)
{
    std::vector<std::invoke_result_t<Read, const Json::Value&>> items;
    for (const Json::Value& item : list)
        items.push_back(read(item));
    return items;
}

/// Returns `texts` as an array of strings.
template<typename Texts>
Json::Value
json_strings(const Texts& texts)
{
    return json_list(texts, [](const std::string& text) { return text; });
}
/// Returns the strings of the array `list`.
std::vector<std::string> strings_from_json(const Json::Value& list);

} // namespace crosslink
