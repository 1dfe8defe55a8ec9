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

/// Asks every live instance that `access.instance` knows, and adds up.
Json::Value
fleet_rows(const OperatorAccess& access)
{
    const std::string secret = read_secret(access.secret_file);
    const Json::Value status = ask_instance(access.instance, secret, "/status");
    std::vector<Json::Value> reports;
    for (const Json::Value& member : status["members"]) {
        const std::string address = json_string(member, "address");
        if (json_string(member, "state") == "dead")
            continue;
        try {
            reports.push_back(ask_instance(address, secret, "/report"));
        } catch (const Error& failure) {
            std::fprintf(stderr, "left out: %s\n", failure.what());
        }
    }
    return merge_burn_rows(reports);
}

void
show_report(const ReportOptions& options)
{
    const Json::Value rows = fleet_rows(options.access);
    if (!options.html.empty()) {
        std::ofstream file(options.html);
        file << burn_html(rows);
        if (!file.flush())
            throw Error(ErrorCode::SettingsInvalid,
                        "--html can't be written: \"" + options.html + "\"");
        return;
    }
    const std::string text =
        options.json ? json_pretty(rows) + "\n" : burn_text(rows);
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
