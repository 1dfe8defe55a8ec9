// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

/// The load program of the measurements. Never shipped.

#include "load_run.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <exception>

int
main(int argc, char** argv)
{
    using namespace crosslink;
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App tool("Open-loop load of returning prompts; loopback only");
    bench::LoadRules rules;
    bench::LoadTargets targets;
    tool.add_option("--targets", targets.addresses, "Entry instances")
        ->required()
        ->delimiter(',');
    tool.add_option("--seed", rules.seed);
    tool.add_option("--rate", rules.requests_per_second)
        ->check(CLI::Range(0.1, 5000.0));
    tool.add_option("--seconds", rules.seconds)->check(CLI::Range(0.1, 600.0));
    tool.add_option("--prompts", rules.prompts);
    tool.add_option("--prompt-bytes", rules.prompt_bytes);
    tool.add_option("--new-share", rules.new_share);
    tool.add_option("--accounts", rules.accounts);
    tool.add_option("--tokens", rules.tokens);
    tool.add_option("--warm-rounds", rules.warm_rounds);
    tool.add_option("--threads", targets.threads);
    tool.add_flag("--direct", targets.direct, "The targets are engines");
    tool.add_flag("--bursty", rules.bursty);
    CLI11_PARSE(tool, argc, argv);
    targets.tokens = rules.tokens;
    try {
        for (const std::string& address : targets.addresses)
            if (!address.starts_with("127."))
                throw std::runtime_error("loopback only: " + address);
        const Json::Value figures =
            bench::run_load(bench::plan_load(rules), targets);
        std::printf("%s\n", json_pretty(figures).c_str());
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "crosslink_bench: %s\n", failure.what());
        return 1;
    }
    return 0;
}
