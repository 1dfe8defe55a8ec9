// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "commands.h"
#include "operator_client.h"

#include <serve/status_report.h>

#include <CLI/CLI.hpp>

#include <cstdio>
#include <memory>

namespace crosslink
{

namespace
{

struct StatusOptions {
    OperatorAccess access;
    bool json = false;
};

void
show_status(const StatusOptions& options)
{
    const std::string secret = read_secret(options.access.secret_file);
    const Json::Value status =
        fetch_from_instance(options.access.instance, secret, "/status");
    const std::string text =
        options.json ? json_pretty(status) + "\n" : status_text(status);
    std::fputs(text.c_str(), stdout);
}

} // namespace

void
add_status_command(CLI::App& tool)
{
    CLI::App& command = *tool.add_subcommand(
        "status", "Show the fleet as one instance sees it");
    const auto options = std::make_shared<StatusOptions>();
    add_access_options(command, options->access, true);
    command.add_flag("--json", options->json, "Print JSON");
    command.final_callback([options] { show_status(*options); });
}

} // namespace crosslink
