// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/base/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace crosslink
{

/// One structured log line: an event with its fields, written as a JSON object
/// by the destructor. The number of lines written a second is limited; the rest
/// are dropped, and their number is logged as a line of its own.
class LogLine
{
public:
    /// `event` is the kind of line; docs/OPERATIONS.md lists them all.
    explicit LogLine(std::string_view event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& field(const char* name, std::string_view value);
    LogLine& field(const char* name, const char* value);
    LogLine& field(const char* name, std::uint64_t value);
    LogLine& field(const char* name, std::uint32_t value);
    LogLine& field(const char* name, int value);
    LogLine& field(const char* name, double value);
    LogLine& field(const char* name, bool value);
    /// Adds a duration in milliseconds, under `name` with the suffix "_ms".
    LogLine& span(const char* name, Micros value);

private:
    Json::Value m_fields;
};

} // namespace crosslink
