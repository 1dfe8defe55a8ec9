// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "commands.h"

#include <serve/entry_instance.h>
#include <serve/logs.h>
#include <serve/settings.h>

#include <CLI/CLI.hpp>

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

void
serve(const SettingTexts& texts)
{
    const Settings settings = texts.checked();
    set_up_logs(LogTarget::StandardError, settings.log_level,
                settings.log_format == "json");
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
add_serve_command(CLI::App& tool)
{
    CLI::App& command = *tool.add_subcommand("serve", "Run an entry instance");
    const auto texts = std::make_shared<SettingTexts>(command);
    command.final_callback([texts] { serve(*texts); });
}

void
add_version_command(CLI::App& tool)
{
    tool.add_subcommand("version", "Print the version")->final_callback([] {
        std::printf("crosslink %s\n", CROSSLINK_VERSION);
    });
}

} // namespace crosslink
