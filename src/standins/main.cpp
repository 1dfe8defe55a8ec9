// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

/// The stand-ins for the outside parties, one process each. Never shipped.

#include "engine_standin.h"
#include "plain_standin.h"
#include "platform_standin.h"
#include "store_standin.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <exception>

namespace
{

using namespace crosslink::standins;

void
add_common(CLI::App& verb, StandinSettings& common)
{
    verb.add_option("--bind", common.bind, "Address to serve at");
    verb.add_option("--platform", common.platform, "Platform to announce to");
    verb.add_option("--zone", common.zone, "Availability zone");
    verb.add_option("--id", common.id, "Name in the platform's list");
}

void
add_platform(CLI::App& tool, PlatformStandinSettings& settings)
{
    CLI::App& verb = *tool.add_subcommand("platform", "Key-value service");
    add_common(verb, settings.common);
    verb.add_option("--writes-per-second", settings.writes_per_second);
    verb.add_option("--reads-per-second", settings.reads_per_second);
    verb.add_option("--list-lag-ms", settings.list_lag_ms);
    verb.add_option("--list-expiry-ms", settings.list_expiry_ms);
    verb.final_callback([&settings] { run_platform(settings); });
}

void
add_engine(CLI::App& tool, EngineStandinSettings& settings)
{
    CLI::App& verb = *tool.add_subcommand("engine", "Model engine");
    add_common(verb, settings.common);
    verb.add_option("--model", settings.model);
    verb.add_option("--version", settings.version);
    verb.add_option("--cache-blocks", settings.cache_blocks);
    verb.add_option("--prefill-tokens-per-second",
                    settings.prefill_tokens_per_second);
    verb.add_option("--slots", settings.slots);
    verb.add_option("--token-ms", settings.token_ms);
    verb.add_option("--block-bytes", settings.block_bytes);
    verb.add_option("--load-lag-ms", settings.load_lag_ms);
    verb.add_option("--event-lag-ms", settings.event_lag_ms);
    verb.add_option("--checks-tokens", settings.checks_tokens);
    verb.final_callback([&settings] { run_engine(settings); });
}

void
add_store(CLI::App& tool, StoreStandinSettings& settings)
{
    CLI::App& verb = *tool.add_subcommand("store", "Store of kept KV");
    add_common(verb, settings.common);
    verb.add_option("--memory-bytes", settings.memory_bytes);
    verb.add_option("--disk-bytes", settings.disk_bytes);
    verb.add_option("--memory-link", settings.memory_link_bytes_per_second);
    verb.add_option("--disk-link", settings.disk_link_bytes_per_second);
    verb.add_option("--checks-generation", settings.checks_generation);
    verb.final_callback([&settings] { run_store(settings); });
}

void
add_plain(CLI::App& tool, PlainStandinSettings& settings)
{
    CLI::App& verb = *tool.add_subcommand("plain", "Plain service");
    add_common(verb, settings.common);
    verb.add_option("--service", settings.service);
    verb.add_option("--work-ms", settings.work_ms);
    verb.final_callback([&settings] { run_plain(settings); });
}

/// Signals are waited for by one thread, so they are blocked in all.
void
block_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

int
main(int argc, char** argv)
{
    block_signals();
    CLI::App tool("Stand-ins for crosslink's outside parties");
    tool.require_subcommand(1);
    PlatformStandinSettings platform;
    EngineStandinSettings engine;
    StoreStandinSettings store;
    PlainStandinSettings plain;
    add_platform(tool, platform);
    add_engine(tool, engine);
    add_store(tool, store);
    add_plain(tool, plain);
    try {
        tool.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return tool.exit(failure);
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "standin: %s\n", failure.what());
        return 1;
    }
    return 0;
}
