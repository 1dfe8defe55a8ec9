// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace crosslink
{

/// Parses `text` strictly (no comments, no duplicate fields, bounded depth).
/// Throws Error(BadJson) naming the place.
Json::Value parse_json(std::string_view text);
/// Returns `value` on one line, without blanks.
std::string json_text(const Json::Value& value);
/// Returns `value` indented, for people.
std::string json_pretty(const Json::Value& value);

/// Returns the string field `name`, or `fallback` where it is absent or is
/// not a string.
std::string json_string(const Json::Value& object, const char* name,
                        const std::string& fallback = {});
/// Returns the whole-number field `name`, or `fallback`.
std::uint64_t json_number(const Json::Value& object, const char* name,
                          std::uint64_t fallback = 0);
/// Returns the number field `name`, or `fallback`.
double json_real(const Json::Value& object, const char* name,
                 double fallback = 0);
/// Returns the boolean field `name`, or `fallback`.
bool json_flag(const Json::Value& object, const char* name,
               bool fallback = false);

} // namespace crosslink
