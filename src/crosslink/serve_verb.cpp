// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "verbs.h"

#include <serve/entry_instance.h>
#include <serve/settings.h>

#include <crosslink/base/json.h>

#include <CLI/CLI.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>

namespace crosslink
{

namespace
{

volatile std::sig_atomic_t stop_signal = 0;

void
on_signal(int)
{
    stop_signal = 1;
}

/// Writes each entry as one JSON object.
class JsonFormatter : public spdlog::formatter
{
public:
    void format(const spdlog::details::log_msg& message,
                spdlog::memory_buf_t& out) override
    {
        Json::Value value;
        const auto since = message.time.time_since_epoch();
        value["time_ms"] = Json::Int64(
            std::chrono::duration_cast<std::chrono::milliseconds>(since)
                .count());
        const auto level = spdlog::level::to_string_view(message.level);
        value["level"] = std::string(level.data(), level.size());
        value["message"] =
            std::string(message.payload.data(), message.payload.size());
        const std::string line = json_text(value) + "\n";
        out.append(line.data(), line.data() + line.size());
    }

    std::unique_ptr<spdlog::formatter> clone() const override
    {
        return std::make_unique<JsonFormatter>();
    }
};

/// Logs go through a bounded ring to a thread of their own.
void
set_up_logs(const Settings& settings)
{
    constexpr std::size_t ring_entries = 8192;
    spdlog::init_thread_pool(ring_entries, 1);
    const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    const auto logger = std::make_shared<spdlog::async_logger>(
        "crosslink", sink, spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    if (settings.log_format == "json")
        logger->set_formatter(std::make_unique<JsonFormatter>());
    logger->set_level(spdlog::level::from_str(settings.log_level));
    spdlog::set_default_logger(logger);
}

void
serve(const SettingTexts& texts)
{
    const Settings settings = texts.checked();
    set_up_logs(settings);
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    {
        EntryInstance instance(settings);
        std::printf("listening %s peers %s\n",
                    instance.caller_address().c_str(),
                    instance.peer_address().c_str());
        std::fflush(stdout);
        instance.serve([] { return stop_signal != 0; });
    }
    spdlog::shutdown();
}

} // namespace

void
add_serve_verb(CLI::App& tool)
{
    CLI::App& verb = *tool.add_subcommand("serve", "Run an entry instance");
    const auto texts = std::make_shared<SettingTexts>(verb);
    verb.final_callback([texts] { serve(*texts); });
}

void
add_version_verb(CLI::App& tool)
{
    tool.add_subcommand("version", "Print the version")->final_callback([] {
        std::printf("crosslink %s\n", CROSSLINK_VERSION);
    });
}

} // namespace crosslink
