// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

namespace CLI
{
class App;
}

namespace crosslink
{

/// Exit codes of the command line tool.
enum ExitCode {
    ExitOk = 0,
    ExitInvalid = 1,     ///< Invalid settings or templates.
    ExitUnreachable = 2, ///< Platform or instance can't be reached.
    ExitConflict = 3,    ///< Another operator's change came first.
    ExitNotInForce = 4,  ///< Applied, but not in force everywhere in time.
};

/// Each function adds one subcommand to `tool`. Subcommands throw Error.
void add_serve_command(CLI::App& tool);
void add_template_command(CLI::App& tool);
void add_status_command(CLI::App& tool);
void add_report_command(CLI::App& tool);
void add_version_command(CLI::App& tool);

} // namespace crosslink
