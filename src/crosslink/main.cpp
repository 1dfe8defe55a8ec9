// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

/// The crosslink program: runs an entry instance, and has the subcommands for
/// operators.

#include "commands.h"

#include <platform/front_verb.h>

#include <crosslink/base/error.h>

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

namespace
{

int
exit_code_for(crosslink::ErrorCode code)
{
    switch (code) {
    case crosslink::ErrorCode::RevisionConflict:
        return crosslink::ExitConflict;
    case crosslink::ErrorCode::NotReady:
        return crosslink::ExitNotInForce;
    case crosslink::ErrorCode::PlatformUnavailable:
    case crosslink::ErrorCode::PlatformOutcomeUnknown:
    case crosslink::ErrorCode::PlatformThrottled:
    case crosslink::ErrorCode::PeerUnavailable:
        return crosslink::ExitUnreachable;
    default:
        return crosslink::ExitInvalid;
    }
}

} // namespace

int
main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App tool("crosslink serves prompts that return after long gaps");
    tool.require_subcommand(1);
    crosslink::add_serve_command(tool);
    crosslink::platform::add_front_verb(tool);
    crosslink::add_template_command(tool);
    crosslink::add_status_command(tool);
    crosslink::add_report_command(tool);
    crosslink::add_version_command(tool);
    try {
        tool.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return tool.exit(failure);
    } catch (const crosslink::Error& failure) {
        std::fprintf(stderr, "crosslink: %s: %s\n",
                     std::string(crosslink::error_name(failure.code())).c_str(),
                     failure.what());
        return exit_code_for(failure.code());
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "crosslink: %s\n", failure.what());
        return crosslink::ExitInvalid;
    }
    return crosslink::ExitOk;
}
