// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "logs.h"

#include <crosslink/base/json.h>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <thread>

namespace crosslink
{

namespace
{

/// Largest number of lines that wait for the writer thread.
constexpr std::size_t ring_entries = 4096;
/// Longest wait for the lines in the ring.
constexpr auto longest_write = std::chrono::seconds(1);
/// More than the writer thread takes for one line.
constexpr auto line_write_time = std::chrono::milliseconds(2);

/// Writes each entry as one JSON object. An entry that is an object already
/// (see LogLine) gets the time and the level as its first fields.
class JsonFormatter : public spdlog::formatter
{
public:
    void format(const spdlog::details::log_msg& message,
                spdlog::memory_buf_t& out) override
    {
        const auto since = message.time.time_since_epoch();
        const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(since);
        const auto level = spdlog::level::to_string_view(message.level);
        const std::string_view payload(message.payload.data(),
                                       message.payload.size());
        std::string line = "{\"time_ms\":" + std::to_string(millis.count()) +
                           ",\"level\":\"" +
                           std::string(level.data(), level.size()) + "\",";
        if (payload.starts_with('{')) {
            line += payload.substr(1);
        } else {
            line += "\"message\":";
            line += json_text(Json::Value(std::string(payload)));
            line += '}';
        }
        line += '\n';
        out.append(line.data(), line.data() + line.size());
    }

    std::unique_ptr<spdlog::formatter> clone() const override
    {
        return std::make_unique<JsonFormatter>();
    }
};

spdlog::sink_ptr
sink_of(LogTarget target)
{
    if (target == LogTarget::StandardOutput)
        return std::make_shared<spdlog::sinks::stdout_sink_mt>();
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

} // namespace

void
set_up_logs(LogTarget target, const std::string& level, bool json)
{
    spdlog::init_thread_pool(ring_entries, 1);
    const auto logger = std::make_shared<spdlog::async_logger>(
        "crosslink", sink_of(target), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    if (json)
        logger->set_formatter(std::make_unique<JsonFormatter>());
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(logger);
}

void
write_waiting_logs()
{
    const auto latest = std::chrono::steady_clock::now() + longest_write;
    while (spdlog::thread_pool()->queue_size() > 0 &&
           std::chrono::steady_clock::now() < latest)
        std::this_thread::sleep_for(line_write_time);
    // The writer may still have the last line.
    std::this_thread::sleep_for(line_write_time);
}

} // namespace crosslink
