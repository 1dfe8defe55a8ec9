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

/// One line of the log as a JSON object: an event with its fields. At most
/// so many lines a second are written; the rest are counted, and the count
/// is written as a line of its own. Written when it goes out of scope.
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
    /// In milliseconds, under `name` with "_ms" behind it.
    LogLine& span(const char* name, Micros value);

private:
    Json::Value m_fields;
};

} // namespace crosslink
