// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "operator_client.h"
#include "verbs.h"

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

/// What the whole fleet tells.
struct FleetReport {
    Json::Value rows;
    Json::Value links;
};

/// Asks every live instance that `access.instance` knows, and adds up.
FleetReport
fleet_report(const OperatorAccess& access)
{
    const std::string secret = read_secret(access.secret_file);
    const Json::Value status = ask_instance(access.instance, secret, "/status");
    std::vector<Json::Value> reports;
    std::vector<Json::Value> links;
    for (const Json::Value& member : status["members"]) {
        const std::string address = json_string(member, "address");
        if (json_string(member, "state") == "dead")
            continue;
        try {
            reports.push_back(ask_instance(address, secret, "/report"));
            links.push_back(ask_instance(address, secret, "/status")["links"]);
        } catch (const Error& failure) {
            std::fprintf(stderr, "left out: %s\n", failure.what());
        }
    }
    return {merge_burn_rows(reports), merge_links(links)};
}

void
show_report(const ReportOptions& options)
{
    const FleetReport report = fleet_report(options.access);
    if (!options.html.empty()) {
        std::ofstream file(options.html);
        file << burn_html(report.rows, report.links);
        if (!file.flush())
            throw Error(ErrorCode::SettingsInvalid,
                        "--html can't be written: \"" + options.html + "\"");
        return;
    }
    Json::Value whole;
    whole["burn"] = report.rows;
    whole["links"] = report.links;
    const std::string text =
        options.json ? json_pretty(whole) + "\n"
                     : burn_text(report.rows) + "\n" + links_text(report.links);
    std::fputs(text.c_str(), stdout);
}

} // namespace

void
add_report_verb(CLI::App& tool)
{
    CLI::App& verb =
        *tool.add_subcommand("report", "Show the service-level burn");
    const auto options = std::make_shared<ReportOptions>();
    add_access_options(verb, options->access, true);
    verb.add_flag("--json", options->json, "Print JSON");
    verb.add_option("--html", options->html, "Write one HTML page there");
    verb.final_callback([options] { show_report(*options); });
}

} // namespace crosslink
