// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "change_applier.h"

#include <adapters/clock.h>
#include <serve/forward/forward_state.h>
#include <serve/log_line.h>

#include <cstddef>
#include <cstdint>

namespace crosslink
{

ChangeApplier::ChangeApplier(ForwardState& state, ChangesKind kind,
                             std::optional<TimePoint> lapsed_until)
    : m_state(state), m_kind(kind), m_lapsed_until(lapsed_until)
{
    if (is_snapshot())
        state.fleet.with([](FleetView& view) { view.rollouts.clear(); });
}

void
ChangeApplier::operator()(const ServiceMapChanged& change)
{
    const auto known = m_state.map();
    if (known && known->version >= change.map->version)
        return;
    // Before the first call that uses the map.
    m_state.routes.with([&change](RouteHistory& history) {
        history.in_force(*change.map, monotonic_now());
    });
    const bool newer = m_state.fleet.with([&](FleetView& view) {
        if (view.map && view.map->version >= change.map->version)
            return false;
        view.map = change.map;
        return true;
    });
    if (!newer)
        return;
    const CallerLimits& limits = change.map->limits;
    m_state.caller_times->change({limits.idle_time, limits.header_time});
    LogLine("configuration_in_force")
        .field("version", change.map->version)
        .field("routes", static_cast<std::uint64_t>(change.map->route_count()));
}

void
ChangeApplier::operator()(const WeightsNamed& change)
{
    m_state.fleet.with([&](FleetView& view) {
        WeightsHistory& history = view.weights[change.model];
        // Outside of updates, weights may be named that are long in use.
        if (m_kind == ChangesKind::Update)
            history.named(change.version, monotonic_now());
        else if (!view.runners_listed)
            history.found_at_start(change.version, monotonic_now());
        else
            history.found(change.version, monotonic_now());
    });
    LogLine("weights_named")
        .field("model", change.model)
        .field("version", change.version);
}

void
ChangeApplier::operator()(const WeightsRecorded& change)
{
    m_state.fleet.with([&](FleetView& view) {
        view.rollouts[change.model].recorded(change.versions);
    });
}

void
ChangeApplier::operator()(const RolloutMarked& change)
{
    m_state.fleet.with([&](FleetView& view) {
        view.rollouts[change.model].marked(change.version, change.open);
    });
    LogLine("rollout_marked")
        .field("model", change.model)
        .field("version", change.version)
        .field("open", change.open);
}

void
ChangeApplier::operator()(const RequestBlocked& change)
{
    if (change.blocked)
        m_blocked.insert(change.request);
    if (is_copy())
        m_state.note_restored_block_record(change.request, change.blocked);
    else
        m_state.note_block_record(change.request, change.blocked);
}

void
ChangeApplier::operator()(const SoftwareRecorded& change)
{
    if (change.served)
        m_software.insert(change.id);
    m_state.software.with([&](SoftwareHistory& history) {
        if (change.served)
            history.recorded(*change.served, monotonic_now());
        else if (is_copy())
            history.record_lost(change.id);
        else
            history.unrecorded(change.id);
    });
}

void
ChangeApplier::operator()(const RoutesRecorded& change)
{
    const TimePoint now = monotonic_now();
    if (change.routes)
        m_routes.insert(change.id);
    m_state.routes.with([&](RouteHistory& history) {
        if (change.routes)
            history.recorded({change.id, change.routes}, now);
        else
            history.unrecorded(change.id, now);
    });
}

void
ChangeApplier::operator()(const ZoneEvacuated& change)
{
    if (is_copy() && !change.evacuated)
        return;
    if (change.evacuated)
        m_evacuated.insert(change.zone);
    m_state.runners.with([&](RunnerTable& table) {
        table.evacuate(change.zone, change.evacuated, monotonic_now());
    });
    LogLine("zone_evacuated")
        .field("zone", change.zone)
        .field("evacuated", change.evacuated);
}

/// Closes the connections to the runner's previous process.
void
ChangeApplier::handle_restart(const ListedRunner& runner)
{
    m_state.connections.drop_unproven(runner.address, monotonic_now());
    LogLine("runner_started_anew")
        .field("runner", runner.id)
        .field("born", runner.start_ms)
        .span("cold_for", runner.cold_for);
}

/// Records which processes a new listing replaces: an earlier one with the same
/// id, and others at the same address, have ended, unless they left as planned.
void
ChangeApplier::note_replaced(const ListedRunner& runner)
{
    const auto earlier =
        m_state.runners.with([&runner](const RunnerTable& table) {
            const auto known = table.entries().find(runner.id);
            const bool is_new = known != table.entries().end() &&
                                known->second.listed.start_ms < runner.start_ms;
            return is_new ? std::optional(known->second.listed) : std::nullopt;
        });
    if (earlier)
        m_state.note_runner_exit({earlier->id, earlier->start_ms},
                                 "new process");
    m_state.note_runner_replaced(runner);
}

/// Records that a runner is no longer listed: its process may have ended,
/// unless it announced that it leaves.
void
ChangeApplier::note_unlisted(const std::string& id)
{
    std::optional<ListedRunner> gone;
    bool is_leaving = false;
    std::size_t in_zone = 0;
    m_state.runners.with([&](const RunnerTable& table) {
        const auto found = table.entries().find(id);
        if (found == table.entries().end())
            return;
        gone = found->second.listed;
        is_leaving = found->second.leaves();
        in_zone = table.count_in_zone(gone->zone);
    });
    if (!gone)
        return;
    const RunnerIncarnation incarnation{gone->id, gone->start_ms};
    m_state.unresolved_failures.with(
        [&](UnresolvedFailures& unresolved_failures) {
            if (is_leaving)
                unresolved_failures.leaves(incarnation);
            else
                unresolved_failures.gone(incarnation, gone->zone, in_zone,
                                         monotonic_now());
        });
    m_state.unresolved_failure_added.wake();
}

void
ChangeApplier::operator()(const RunnerListed& change)
{
    m_runners.push_back(change.runner);
    const bool is_outdated =
        is_copy() && m_state.runners.with([&](const RunnerTable& table) {
            return table.is_outdated(change.runner);
        });
    if (!is_outdated)
        note_replaced(change.runner);
    const bool restarted = m_state.runners.with([&](RunnerTable& table) {
        return is_copy() ? table.put_restored(change.runner, monotonic_now())
                         : table.put(change.runner, monotonic_now());
    });
    if (restarted)
        handle_restart(change.runner);
    if (change.runner.leaving)
        LogLine("runner_leaving")
            .field("runner", change.runner.id)
            .field("source", "platform");
}

void
ChangeApplier::operator()(const RunnerGone& change)
{
    // A runner whose entry expired during an outage of the platform may be
    // healthy.
    if (!m_lapsed_until)
        note_unlisted(change.id);
    m_state.runners.with([&](RunnerTable& table) {
        if (m_lapsed_until)
            table.lapsed(change.id, *m_lapsed_until);
        else
            table.remove(change.id);
    });
    LogLine(m_lapsed_until ? "runner_lapsed" : "runner_gone")
        .field("runner", change.id);
}

void
ChangeApplier::operator()(const InstanceListed& change)
{
    const InstanceInfo& instance = change.instance;
    if (is_copy() && instance.address.empty())
        return;
    m_instances.insert(instance.name);
    m_state.fleet.with([&](FleetView& view) {
        ++view.instances_version;
        if (instance.address.empty())
            view.instances.erase(instance.name);
        else
            view.instances[instance.name] = instance;
    });
    m_state.runners.with([&](RunnerTable& table) {
        if (instance.address.empty())
            table.members().gone(instance.name, monotonic_now());
        else
            table.members().listed(instance, monotonic_now());
    });
}

void
ChangeApplier::operator()(const DutyHolder& change)
{
    m_holder_named = true;
    m_state.fleet.with([&](FleetView& view) {
        view.coordinator = change.address;
        view.peer_reported_coordinator.clear();
        view.holders.set_holder(change.address, monotonic_now());
    });
    LogLine("duty_holder")
        .field("duty", change.duty)
        .field("address", change.address);
}

void
ChangeApplier::finish()
{
    if (is_snapshot())
        finish_snapshot();
    if (is_copy())
        finish_copy();
    const Micros limit = m_state.settings.sending_bound();
    const TimePoint now = monotonic_now();
    m_state.fleet.with([&](FleetView& view) {
        for (const auto& [model, record] : view.rollouts)
            record.apply_to(view.weights[model], limit, now);
    });
}

/// Former holders of the duty may be missing from what is known: the copy has
/// not seen those since it was taken.
void
ChangeApplier::finish_copy()
{
    m_state.fleet.with(
        [](FleetView& view) { view.holders.record_gap(monotonic_now()); });
}

void
ChangeApplier::finish_snapshot()
{
    const TimePoint now = monotonic_now();
    m_state.runners.with([this, now](RunnerTable& table) {
        if (m_lapsed_until)
            table.sync_lapsed(m_runners, *m_lapsed_until, now);
        else
            table.sync(m_runners, now);
        table.evacuate_only(m_evacuated, now);
        table.members().keep_only(m_instances, now);
    });
    m_state.crashes.with(
        [this](CrashHistory& history) { history.recorded_only(m_blocked); });
    m_state.software.with([this](SoftwareHistory& history) {
        history.recorded_only(m_software);
    });
    m_state.routes.with([this, now](RouteHistory& history) {
        history.recorded_only(m_routes, now);
    });
    m_state.fleet.with([this](FleetView& view) {
        view.runners_listed = true;
        view.holders.record_gap(monotonic_now());
        if (!m_holder_named) {
            view.coordinator.clear();
            view.holders.set_holder("", monotonic_now());
        }
        ++view.instances_version;
        std::erase_if(view.instances, [this](const auto& item) {
            return !m_instances.contains(item.first);
        });
    });
}

} // namespace crosslink
