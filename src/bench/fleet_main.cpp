// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

/// What one instance costs in fleets of several sizes, for docs/CAPACITY.md.
/// Never shipped.

#include "fleet_costs.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

namespace
{

using crosslink::bench::FleetSize;

/// Prints one row for each figure, with a column for each size.
void
print_table(const std::vector<Json::Value>& columns)
{
    for (const std::string& name : columns.front().getMemberNames()) {
        std::printf("%-24s", name.c_str());
        for (const Json::Value& column : columns)
            std::printf(" %12.1f", column[name].asDouble());
        std::printf("\n");
    }
}

} // namespace

int
main(int argc, char** argv)
{
    CLI::App tool("What one instance costs in a fleet, by the product's code");
    FleetSize largest;
    std::vector<std::size_t> parts{10, 4, 2, 1};
    bool json = false;
    tool.add_option("--instances", largest.instances, "In the largest fleet")
        ->check(CLI::Range(10, 20'000));
    tool.add_option("--runners", largest.runners, "In the largest fleet")
        ->check(CLI::Range(10, 200'000));
    tool.add_option("--zones", largest.zones)->check(CLI::Range(1, 100));
    tool.add_option("--parts", parts, "Sizes, as divisors of the largest")
        ->delimiter(',')
        ->check(CLI::Range(1, 1000));
    tool.add_flag("--json", json, "Print JSON in place of the table");
    CLI11_PARSE(tool, argc, argv);
    try {
        std::vector<Json::Value> columns;
        for (const std::size_t part : parts) {
            FleetSize size = largest;
            size.instances = largest.instances / part;
            size.runners = largest.runners / part;
            std::fprintf(stderr, "%zu instances, %zu runners ..\n",
                         size.instances, size.runners);
            columns.push_back(crosslink::bench::measure_fleet(size));
        }
        if (!json) {
            print_table(columns);
            return 0;
        }
        Json::Value all(Json::arrayValue);
        for (const Json::Value& column : columns)
            all.append(column);
        std::printf("%s\n", crosslink::json_pretty(all).c_str());
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "crosslink_fleet_bench: %s\n", failure.what());
        return 1;
    }
    return 0;
}
