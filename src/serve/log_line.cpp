// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "log_line.h"

#include "guarded.h"

#include <adapters/clock.h>

#include <spdlog/spdlog.h>

namespace crosslink
{

namespace
{

/// Largest number of lines written in a second. One instance serves about 60
/// requests a second at the target size, each with up to three lines.
constexpr std::uint32_t most_lines = 200;

struct LineRate {
    Micros::rep second = 0;
    std::uint32_t lines = 0;
    std::uint64_t dropped = 0;
};

/// Counts a line against the rate limit. Returns whether it may be written, and
/// the number of lines dropped in an earlier second, to be logged now.
std::pair<bool, std::uint64_t>
acquire_line()
{
    static Guarded<LineRate> guarded;
    const Micros::rep second =
        monotonic_now().time_since_epoch() / std::chrono::seconds(1);
    return guarded.with([second](LineRate& rate) {
        std::uint64_t dropped = 0;
        if (rate.second != second) {
            dropped = rate.dropped;
            rate = {second, 0, 0};
        }
        const bool written = rate.lines < most_lines;
        if (written)
            ++rate.lines;
        else
            ++rate.dropped;
        return std::pair(written, dropped);
    });
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    m_fields["event"] = std::string(event);
}

LogLine::~LogLine()
{
    const auto [written, dropped] = acquire_line();
    if (dropped > 0)
        spdlog::warn("{{\"event\":\"log_lines_dropped\",\"lines\":{}}}",
                     dropped);
    if (written)
        spdlog::info(json_text(m_fields));
}

LogLine&
LogLine::field(const char* name, std::string_view value)
{
    m_fields[name] = std::string(value);
    return *this;
}

LogLine&
LogLine::field(const char* name, const char* value)
{
    return field(name, std::string_view(value));
}

LogLine&
LogLine::field(const char* name, std::uint64_t value)
{
    m_fields[name] = Json::UInt64(value);
    return *this;
}

LogLine&
LogLine::field(const char* name, std::uint32_t value)
{
    m_fields[name] = Json::UInt(value);
    return *this;
}

LogLine&
LogLine::field(const char* name, int value)
{
    m_fields[name] = value;
    return *this;
}

LogLine&
LogLine::field(const char* name, double value)
{
    m_fields[name] = value;
    return *this;
}

LogLine&
LogLine::field(const char* name, bool value)
{
    m_fields[name] = value;
    return *this;
}

LogLine&
LogLine::span(const char* name, Micros value)
{
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(value);
    m_fields[std::string(name) + "_ms"] = Json::Int64(millis.count());
    return *this;
}

} // namespace crosslink
