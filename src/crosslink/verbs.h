// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

namespace CLI
{
class App;
}

namespace crosslink
{

/// Exit codes of the tool.
enum ExitCode {
    ExitOk = 0,
    ExitMistakes = 1,    ///< Wrong settings or templates.
    ExitUnreachable = 2, ///< Platform or instance can't be reached.
    ExitConflict = 3,    ///< Another operator was faster.
    ExitNotInForce = 4,  ///< Applied, but not seen in force everywhere.
};

/// Each adds one verb to `tool`. Verbs throw Error.
void add_serve_verb(CLI::App& tool);
void add_template_verb(CLI::App& tool);
void add_status_verb(CLI::App& tool);
void add_report_verb(CLI::App& tool);
void add_version_verb(CLI::App& tool);

} // namespace crosslink
