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
