// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardState that records what runners report about themselves,
// directly or through other instances.

#include "forward_state.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <algorithm>

namespace crosslink
{

RunnerQuery
ForwardState::runner_query(const std::string& service)
{
    RunnerQuery query;
    query.now = monotonic_now();
    query.service = service;
    query.zone = settings.zone;
    query.instance = settings.name;
    query.instances = instance_count();
    query.warm_up = warm_up_terms(service);
    query.random = random_bits();
    return query;
}

WarmUpTerms
ForwardState::warm_up_terms(const std::string& service)
{
    const auto known = map();
    const auto found = known->warm_ups.find(service);
    if (found == known->warm_ups.end())
        return {};
    return {found->second.time,
            settings.warm_up_limit(found->second.per_second)};
}

bool
ForwardState::several_software(std::string_view service)
{
    observe_software();
    return software.with([service](const SoftwareHistory& history) {
        return history.several(service, monotonic_now());
    });
}

void
ForwardState::note_software()
{
    observe_software();
    const bool several = software.with([](const SoftwareHistory& history) {
        return history.any_several(monotonic_now());
    });
    if (several)
        origin_noted.wake();
}

void
ForwardState::observe_software()
{
    const SoftwareCounts listed =
        runners.with([](const RunnerTable& table) { return table.software(); });
    software.with([&listed](SoftwareHistory& history) {
        history.observe(listed, monotonic_now());
    });
}

bool
ForwardState::serves(std::string_view service, std::string_view version)
{
    return runners.with([&](const RunnerTable& table) {
        const auto versions = table.software().find(service);
        return versions != table.software().end() &&
               versions->second.contains(version);
    });
}

std::vector<StreamOrigin>
ForwardState::streams_of(const std::string& name)
{
    auto known = origins.with(
        [](const StreamOrigins& all) { return all.all(monotonic_now()); });
    const auto instances =
        fleet.with([](const FleetView& view) { return view.instances; });
    std::erase_if(known, [&](const StreamOrigin& origin) {
        const auto homes = crosslink::stream_homes(instances, origin.stream);
        return std::none_of(
            homes.begin(), homes.end(),
            [&name](const InstanceInfo& home) { return home.name == name; });
    });
    return known;
}

std::vector<InstanceInfo>
ForwardState::stream_homes(std::string_view stream)
{
    auto homes = fleet.with([&](const FleetView& view) {
        return crosslink::stream_homes(view.instances, stream);
    });
    std::erase_if(homes, [this](const InstanceInfo& home) {
        return home.name == settings.name;
    });
    return homes;
}

void
ForwardState::note_runner_weights(const RunnerIncarnation& runner,
                                  std::string_view model, std::uint64_t version,
                                  const char* source)
{
    const bool changed = runners.with([&](RunnerTable& table) {
        return table.record_version(runner, model, version);
    });
    if (changed)
        LogLine("runner_weights")
            .field("runner", runner.id)
            .field("version", version)
            .field("source", source);
}

void
ForwardState::note_runner_limit(const RunnerIncarnation& runner,
                                double per_second, std::uint64_t known)
{
    const bool changed = runners.with([&](RunnerTable& table) {
        return table.apply_limit_answer(runner, per_second, known,
                                        monotonic_now());
    });
    if (changed)
        log_limit_change(runner.id, per_second, "answer");
}

void
ForwardState::merge_peer_report(const std::vector<LimitUpdate>& limits)
{
    for (const LimitUpdate& update : limits) {
        const bool changed = runners.with([&](RunnerTable& table) {
            return table.merge_limit(update, monotonic_now());
        });
        if (changed)
            log_limit_change(update.runner, update.per_second, "instance");
    }
}

std::vector<LimitUpdate>
ForwardState::limit_updates(TimePoint now)
{
    return runners.with(
        [now](RunnerTable& table) { return table.limit_updates(now); });
}

void
ForwardState::note_runner_leaving(const RunnerIncarnation& runner,
                                  const char* source)
{
    const bool is_new = runners.with([&](RunnerTable& table) {
        return table.set_leaving(runner, monotonic_now());
    });
    if (!is_new)
        return;
    unresolved_failures.with(
        [&](UnresolvedFailures& failures) { failures.leaves(runner); });
    ++counters.runners_leaving;
    LogLine("runner_leaving")
        .field("runner", runner.id)
        .field("source", source);
}

void
ForwardState::merge_peer_report(const std::vector<LeavingUpdate>& leaving)
{
    for (const LeavingUpdate& update : leaving)
        note_runner_leaving({update.runner, update.start_ms}, "instance");
}

std::vector<LeavingUpdate>
ForwardState::leaving_updates()
{
    return runners.with(
        [](const RunnerTable& table) { return table.leaving_updates(); });
}

void
ForwardState::note_bearable_refusals(const RunnerIncarnation& runner,
                                     std::uint32_t refusals)
{
    runners.with([&](RunnerTable& table) {
        table.set_bearable_refusals(runner, refusals);
    });
    LogLine("runner_brittle")
        .field("runner", runner.id)
        .field("bears", refusals);
}

void
ForwardState::note_runner_backoff(const RunnerIncarnation& runner,
                                  Micros backoff)
{
    const TimePoint now = monotonic_now();
    const TimePoint until = backoff_end(backoff, now, random_bits());
    runners.with(
        [&](RunnerTable& table) { table.set_backoff(runner, until, now); });
    ++counters.runner_backoffs;
    LogLine("runner_backs_off")
        .field("runner", runner.id)
        .span("backoff", backoff);
}

/// Logs and counts a change of a runner's limit.
void
ForwardState::log_limit_change(std::string_view runner, double per_second,
                               const char* source)
{
    ++counters.limits_changed;
    counters.runners_limited =
        runners.with([](RunnerTable& table) { return table.limited_count(); });
    LogLine line("runner_limit");
    line.field("runner", runner).field("source", source);
    if (per_second == no_rate_limit)
        line.field("ended", true);
    else
        line.field("per_second", per_second);
}

} // namespace crosslink
