// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "commands.h"
#include "operator_client.h"

#include <crosslink/base/error.h>
#include <crosslink/report/burn_report.h>

#include <CLI/CLI.hpp>

#include <cstdio>
#include <fstream>
#include <memory>
#include <vector>

namespace crosslink
{

namespace
{

struct ReportOptions {
    OperatorAccess access;
    bool json = false;
    std::string html;
};

/// The merged reports of all live instances.
struct FleetReport {
    Json::Value rows;
    Json::Value links;
};

/// Fetches and merges the reports of every live instance that
/// `access.instance` lists. Instances that can't be reached are left out and
/// printed to standard error.
FleetReport
fetch_fleet_report(const OperatorAccess& access)
{
    const std::string secret = read_secret(access.secret_file);
    const Json::Value status =
        fetch_from_instance(access.instance, secret, "/status");
    std::vector<Json::Value> reports;
    std::vector<Json::Value> links;
    for (const Json::Value& member : status["members"]) {
        const std::string address = json_string(member, "address");
        if (json_string(member, "state") == "dead")
            continue;
        try {
            reports.push_back(fetch_from_instance(address, secret, "/report"));
            links.push_back(
                fetch_from_instance(address, secret, "/status")["links"]);
        } catch (const Error& failure) {
            std::fprintf(stderr, "left out: %s\n", failure.what());
        }
    }
    return {merge_burn_rows(reports), merge_links(links)};
}

void
show_report(const ReportOptions& options)
{
    const FleetReport report = fetch_fleet_report(options.access);
    if (!options.html.empty()) {
        std::ofstream file(options.html);
        file << burn_html(report.rows, report.links);
        if (!file.flush())
            throw Error(ErrorCode::SettingsInvalid,
                        "--html can't be written: \"" + options.html + "\"");
        return;
    }
    Json::Value document;
    document["burn"] = report.rows;
    document["links"] = report.links;
    const std::string text =
        options.json ? json_pretty(document) + "\n"
                     : burn_text(report.rows) + "\n" + links_text(report.links);
    std::fputs(text.c_str(), stdout);
}

} // namespace

void
add_report_command(CLI::App& tool)
{
    CLI::App& command =
        *tool.add_subcommand("report", "Show the service-level burn");
    const auto options = std::make_shared<ReportOptions>();
    add_access_options(command, options->access, true);
    command.add_flag("--json", options->json, "Print JSON");
    command.add_option("--html", options->html,
                       "Write an HTML page to this file");
    command.final_callback([options] { show_report(*options); });
}

} // namespace crosslink
