// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_state.h"

#include "relay_wire.h"

#include <adapters/clock.h>
#include <serve/fleet/change_applier.h>
#include <serve/log_line.h>

#include <crosslink/ports/call_wire.h>

#include <algorithm>
#include <span>
#include <sstream>

namespace crosslink
{

namespace
{

/// Greatest number of versions of a model that instances report to each other.
constexpr std::size_t max_reported_versions = 32;

/// How long instances report to each other that a runner may have restarted.
/// Three exchanges up the tree and three down take 0.8 s.
constexpr Micros lost_contact_report_time = std::chrono::milliseconds(1500);

constexpr std::uint64_t bytes_per_mb = 1U << 20U;
/// The part of the memory that bodies may take; threads, connections and what
/// is known of the fleet take the rest.
constexpr std::uint64_t body_memory_divisor = 4;

/// An action may begin only if the lease lasts for longer than this: it must
/// arrive well before the lease can lapse.
constexpr Micros min_action_time = std::chrono::milliseconds(700);

/// Returns the versions that other instances must know: those named after
/// `since`, and the one before them, which forbids the older ones. Without that
/// one, an instance that has just started would take the next version for the
/// first newer one, and send calls to replaced weights for the time between the
/// two.
std::span<const NamedWeights>
versions_to_report(const WeightsHistory& history, TimePoint since)
{
    const std::span<const NamedWeights> all(history.all());
    std::size_t first =
        all.size() - std::min(all.size(), max_reported_versions);
    while (first + 1 < all.size() && all[first + 1].at < since)
        ++first;
    return all.subspan(first);
}

/// Returns the names of the fields of calls and answers that stand at most once
/// in a head, on their way between instances too.
SingleFields
single_fields_of(const CallWire& wire)
{
    SingleFields fields;
    fields.add(wire.single_headers());
    fields.add(relay_wire::names);
    return fields;
}

/// Returns the tree of the listed instances.
FleetTree
tree_of(const FleetView& view)
{
    std::vector<InstanceInfo> instances;
    instances.reserve(view.instances.size());
    for (const auto& [name, instance] : view.instances)
        instances.push_back(instance);
    return {instances, view.coordinator_address()};
}

} // namespace

ForwardState::ForwardState(const ForwardSettings& settings_in,
                           ForwardPorts ports_in)
    : settings(settings_in), ports(ports_in),
      single_fields(single_fields_of(ports_in.wire)),
      fleet(settings_in.order_spacing()), retries(settings_in.retry_rules()),
      hedge_policy(settings_in.hedge_rules()),
      coordinator_lease(DutyLease::takeover_delay(settings_in.order_spacing(),
                                                  settings_in.lease())),
      bodies(settings_in.memory_mb * bytes_per_mb / body_memory_divisor),
      started_at(monotonic_now())
{
}

Micros
ForwardState::since_start() const
{
    return monotonic_now() - started_at;
}

std::shared_ptr<const ServiceMap>
ForwardState::map()
{
    return fleet.with([](FleetView& view) { return view.map; });
}

WeightsChoice
ForwardState::weights_choice(std::string_view model, TimePoint now)
{
    return fleet.with([&](FleetView& view) {
        const auto found = view.weights.find(model);
        if (found == view.weights.end())
            return WeightsChoice();
        const WeightsHistory& history = found->second;
        return WeightsChoice{
            history.newest(),
            history.minimum_version(settings.sending_bound(), now, view.reach)};
    });
}

std::optional<Micros>
ForwardState::replaced_for(std::string_view model, std::uint64_t version,
                           TimePoint now)
{
    return fleet.with([&](FleetView& view) -> std::optional<Micros> {
        const auto found = view.weights.find(model);
        if (found == view.weights.end())
            return std::nullopt;
        const auto replaced = found->second.replaced_at(version);
        if (!replaced)
            return std::nullopt;
        return view.reach.available_time(*replaced, now);
    });
}

bool
ForwardState::reaches_platform()
{
    return fleet.with([](FleetView& view) { return view.reach.in_reach(); });
}

std::vector<WeightsAge>
ForwardState::weights_ages(TimePoint now)
{
    std::vector<WeightsAge> ages;
    fleet.with([&](FleetView& view) {
        for (const auto& [model, history] : view.weights)
            for (const NamedWeights& named :
                 versions_to_report(history, now - settings.weights_bound()))
                if (!named.is_undated)
                    ages.push_back({model, named.version, now - named.at});
    });
    return ages;
}

void
ForwardState::merge_peer_report(const std::vector<WeightsAge>& weights,
                                TimePoint now)
{
    fleet.with([&](FleetView& view) {
        for (const WeightsAge& item : weights) {
            const auto history = view.weights.find(item.model);
            if (history != view.weights.end())
                history->second.named_earlier(item.version, now - item.age);
        }
    });
}

std::vector<ConnectionFailure>
ForwardState::lost_contacts(TimePoint now)
{
    const auto lost = runners.with([now](RunnerTable& table) {
        return table.connection_failures(now - lost_contact_report_time);
    });
    std::vector<ConnectionFailure> result;
    result.reserve(lost.size());
    for (const auto& [runner, at] : lost)
        result.push_back({runner, now - at});
    return result;
}

void
ForwardState::merge_peer_report(const std::vector<ConnectionFailure>& lost,
                                TimePoint now)
{
    for (const ConnectionFailure& item : lost)
        note_connection_failed(item.runner, now - item.age, "instance");
}

void
ForwardState::note_connection_failed(std::string_view runner, TimePoint at,
                                     const char* source)
{
    const bool is_new = runners.with([&](RunnerTable& table) {
        return table.connection_failed(runner, at);
    });
    if (is_new)
        LogLine("runner_lost_contact")
            .field("runner", runner)
            .field("source", source);
}

std::size_t
ForwardState::instance_count()
{
    return fleet.with([](FleetView& view) {
        return std::max<std::size_t>(view.instances.size(), 1);
    });
}

bool
ForwardState::has_duty()
{
    return coordinator_lease.with(
        [](DutyLease& lease) { return lease.held(monotonic_now()); });
}

bool
ForwardState::may_answer_kept(TimePoint now)
{
    return coordinator_lease.with([now](DutyLease& lease) {
        return lease.held_within(kept_grace_time, now);
    });
}

Micros
ForwardState::duty_time_left()
{
    return coordinator_lease.with(
        [](DutyLease& lease) { return lease.time_left(monotonic_now()); });
}

bool
ForwardState::may_act()
{
    return acting_token().has_value();
}

std::optional<std::uint64_t>
ForwardState::acting_token()
{
    return coordinator_lease.with(
        [](DutyLease& lease) -> std::optional<std::uint64_t> {
            if (lease.time_left(monotonic_now()) <= min_action_time)
                return std::nullopt;
            return lease.token();
        });
}

bool
ForwardState::knows_fleet()
{
    return fleet.with([](const FleetView& view) {
        return view.map != nullptr && view.runners_listed;
    });
}

bool
ForwardState::ready()
{
    return !stopping && knows_fleet();
}

void
ForwardState::apply_changes(const std::vector<FleetChange>& changes,
                            ChangesKind kind,
                            std::optional<TimePoint> lapsed_until)
{
    note_software();
    runners.with([](RunnerTable& table) { table.expire(monotonic_now()); });
    ChangeApplier taker(*this, kind, lapsed_until);
    for (const FleetChange& change : changes)
        std::visit(taker, change);
    taker.finish();
    note_software();
    counters.runners_limited =
        runners.with([](RunnerTable& table) { return table.limited_count(); });
    if (kind == ChangesKind::Snapshot)
        learned.notify();
    platform_changed.notify();
}

std::vector<std::string>
ForwardState::parents_of(const InstanceInfo& instance)
{
    const TimePoint now = monotonic_now();
    return fleet.with([&](const FleetView& view) {
        if (!view.runners_listed)
            return std::vector<std::string>();
        return m_starter_tree.with([&](StarterTree& tree) {
            return tree.parents_of(instance, view.instances,
                                   view.coordinator_address(), now);
        });
    });
}

TreePosition
ForwardState::tree_position()
{
    const std::pair now = fleet.with([](const FleetView& view) {
        return std::pair(view.instances_version, view.coordinator_address());
    });
    const std::uint64_t version = now.first;
    const std::string& holder = now.second;
    return m_position.with([&](CachedPosition& known) {
        if (known.instances_version == version && known.holder == holder)
            return known.position;
        const FleetTree tree =
            fleet.with([](const FleetView& view) { return tree_of(view); });
        known.position = {tree.is_parent(settings.name, settings.zone),
                          tree.parents(settings.name, settings.zone,
                                       settings.peer_address())};
        known.instances_version = version;
        known.holder = holder;
        return known.position;
    });
}

} // namespace crosslink
