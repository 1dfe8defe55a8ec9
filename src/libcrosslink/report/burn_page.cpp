// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/report/burn_report.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <tuple>

namespace crosslink
{

namespace
{

constexpr double megabyte = 1e6;
constexpr const char* windows[] = {"fast", "slow"};
constexpr const char* count_names[] = {"requests",      "unanswered",
                                       "late_first",    "late_between",
                                       "prompt_tokens", "computed_tokens"};

/// One kind of service-level objective with the field that counts its misses.
struct Objective {
    const char* title;
    const char* misses;
    const char* target;
};

constexpr Objective objectives[] = {
    {"first token", "late_first", "target_share"},
    {"between tokens", "late_between", "target_share"},
    {"answered", "unanswered", "answered_share"},
};

double
burn_rate(const Json::Value& row, const char* window,
          const Objective& objective)
{
    const Json::Value& counts = row[window];
    const double requests = json_double(counts, "requests");
    if (requests <= 0)
        return 0;
    const double allowed = 1 - json_double(row, objective.target);
    const double missed = json_double(counts, objective.misses) / requests;
    constexpr double min_allowed = 1e-6;
    return missed / std::max(allowed, min_allowed);
}

double
worst_burn_rate(const Json::Value& row)
{
    double worst = 0;
    for (const Objective& objective : objectives)
        worst = std::max(worst, burn_rate(row, "fast", objective));
    return worst;
}

double
recomputed_share(const Json::Value& row)
{
    const double prompt = json_double(row["slow"], "prompt_tokens");
    return prompt > 0 ? json_double(row["slow"], "computed_tokens") / prompt
                      : 0;
}

std::string
number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

std::string
escaped(const std::string& text)
{
    std::string result;
    for (const char letter : text) {
        switch (letter) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += letter;
        }
    }
    return result;
}

/// Returns a bar as inline SVG: full width is a burn rate of `full`.
std::string
bar(double value, double full)
{
    constexpr double width = 120;
    const double filled = std::min(value / full, 1.0) * width;
    const char* color = value > 1 ? "#c0392b" : "#2e7d32";
    return "<svg width=\"120\" height=\"12\"><rect width=\"120\" "
           "height=\"12\" fill=\"#eee\"/><rect width=\"" +
           number(filled) + "\" height=\"12\" fill=\"" + color + "\"/></svg>";
}

} // namespace

Json::Value
merge_burn_rows(const std::vector<Json::Value>& reports)
{
    using Name = std::tuple<std::string, std::string, std::string>;
    std::map<Name, Json::Value> merged;
    for (const Json::Value& rows : reports) {
        for (const Json::Value& row : rows) {
            const Name name{json_string(row, "account"),
                            json_string(row, "model"),
                            json_string(row, "zone")};
            const auto [at, inserted] = merged.try_emplace(name, row);
            if (inserted)
                continue;
            for (const char* window : windows)
                for (const char* count : count_names)
                    at->second[window][count] =
                        Json::UInt64(json_uint64(at->second[window], count) +
                                     json_uint64(row[window], count));
        }
    }
    std::vector<Json::Value> ordered;
    ordered.reserve(merged.size());
    for (auto& [name, row] : merged)
        ordered.push_back(std::move(row));
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const Json::Value& one, const Json::Value& other) {
                         return worst_burn_rate(one) > worst_burn_rate(other);
                     });
    Json::Value result(Json::arrayValue);
    for (Json::Value& row : ordered)
        result.append(std::move(row));
    return result;
}

Json::Value
merge_links(const std::vector<Json::Value>& links)
{
    std::map<std::string, Json::Value> merged;
    for (const Json::Value& list : links) {
        for (const Json::Value& link : list) {
            Json::Value& sum = merged[json_string(link, "store")];
            sum["store"] = link["store"];
            sum["fetched"] = Json::UInt64(json_uint64(sum, "fetched") +
                                          json_uint64(link, "fetched"));
            // Instances learn different speeds: the highest one had to share
            // the link the least.
            sum["bytes_per_second"] =
                std::max(json_double(sum, "bytes_per_second"),
                         json_double(link, "bytes_per_second"));
        }
    }
    Json::Value result(Json::arrayValue);
    for (auto& [store, sum] : merged)
        result.append(std::move(sum));
    return result;
}

std::string
links_text(const Json::Value& links)
{
    std::string text = "link of store              fetched MB   MB/s\n";
    for (const Json::Value& link : links) {
        char line[96];
        std::snprintf(line, sizeof line, "%-24s %12.1f %6.0f\n",
                      json_string(link, "store").c_str(),
                      json_double(link, "fetched") / megabyte,
                      json_double(link, "bytes_per_second") / megabyte);
        text += line;
    }
    return text;
}

std::string
burn_text(const Json::Value& rows)
{
    std::string text = "account                  model            zone     "
                       "objective       fast  slow  budget left  recomputed\n";
    for (const Json::Value& row : rows) {
        for (const Objective& objective : objectives) {
            const double slow = burn_rate(row, "slow", objective);
            char line[160];
            std::snprintf(line, sizeof line,
                          "%-24s %-16s %-8s %-14s %5.2f %5.2f %11.0f%% %10.0f%%"
                          "\n",
                          json_string(row, "account").c_str(),
                          json_string(row, "model").c_str(),
                          json_string(row, "zone").c_str(), objective.title,
                          burn_rate(row, "fast", objective), slow,
                          std::max(0.0, 1 - slow) * 100,
                          recomputed_share(row) * 100);
            text += line;
        }
    }
    return text;
}

std::string
burn_html(const Json::Value& rows, const Json::Value& links)
{
    constexpr double full_bar = 2;
    std::string page =
        "<!doctype html><meta charset=\"utf-8\"><title>crosslink: "
        "service-level burn</title><style>body{font:14px sans-serif;margin:"
        "2em}table{border-collapse:collapse}td,th{padding:4px 10px;"
        "border-bottom:1px solid #ddd;text-align:left}</style>"
        "<h1>Service-level burn</h1><p>A burn of 1 uses the error budget up "
        "just as fast as the objective allows; a full bar is 2.</p><table>"
        "<tr><th>Account<th>Model<th>Zone<th>Objective<th>Fast (5 min)<th>"
        "<th>Slow (1 h)<th><th>Budget left<th>Recomputed</tr>";
    for (const Json::Value& row : rows) {
        for (const Objective& objective : objectives) {
            const double fast = burn_rate(row, "fast", objective);
            const double slow = burn_rate(row, "slow", objective);
            page += "<tr><td>" + escaped(json_string(row, "account")) + "<td>" +
                    escaped(json_string(row, "model")) + "<td>" +
                    escaped(json_string(row, "zone")) + "<td>" +
                    objective.title + "<td>" + number(fast) + "<td>" +
                    bar(fast, full_bar) + "<td>" + number(slow) + "<td>" +
                    bar(slow, full_bar) + "<td>" +
                    number(std::max(0.0, 1 - slow) * 100) + "%<td>" +
                    number(recomputed_share(row) * 100) + "%</tr>";
        }
    }
    page += "</table><h2>Link use</h2><table><tr><th>Store<th>Fetched MB<th>"
            "MB/s</tr>";
    for (const Json::Value& link : links)
        page += "<tr><td>" + escaped(json_string(link, "store")) + "<td>" +
                number(json_double(link, "fetched") / megabyte) + "<td>" +
                number(json_double(link, "bytes_per_second") / megabyte) +
                "</tr>";
    return page + "</table>\n";
}

} // namespace crosslink
