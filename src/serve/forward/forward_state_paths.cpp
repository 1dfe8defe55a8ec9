// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardState that records which runners this instance reaches by
// itself, and which only through others.

#include "forward_state.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <iterator>

namespace crosslink
{

RunnerPaths::Path
ForwardState::path_to(const RunnerPlace& place)
{
    return paths.with(
        [&place](const RunnerPaths& known) { return known.path_to(place); });
}

void
ForwardState::note_path_cut(const RunnerPlace& place)
{
    const auto [is_new, all] = paths.with([&](RunnerPaths& known) {
        const bool added = known.cut(place, monotonic_now());
        return std::pair(added, known.all_cut());
    });
    if (!is_new)
        return;
    ++counters.paths_cut;
    path_changed.wake();
    LogLine("path_cut")
        .field("runner", place.runner)
        .field("service", place.service)
        .field("zone", place.zone)
        .field("all", all);
}

bool
ForwardState::suspect_path(const RunnerPlace& place)
{
    const bool is_due = paths.with([&place](RunnerPaths& known) {
        return known.suspect(place, monotonic_now());
    });
    if (is_due)
        path_changed.wake();
    return is_due;
}

void
ForwardState::note_runner_answered(const RunnerPlace& place,
                                   TimePoint opened_at)
{
    const bool was_cut = paths.with(
        [&](RunnerPaths& known) { return known.answered(place, opened_at); });
    if (was_cut)
        LogLine("path_regained").field("runner", place.runner);
}

void
ForwardState::note_runner_heard(const RunnerPlace& place)
{
    paths.with(
        [&place](RunnerPaths& known) { known.heard(place, monotonic_now()); });
}

std::optional<InstanceInfo>
ForwardState::choose_relay(const RunnerPlace& place,
                           const FailedZones& failed_zones)
{
    const TimePoint now = monotonic_now();
    const std::uint64_t random = random_bits();
    const InstanceInfo own = settings.instance_info();
    return fleet.with([&](const FleetView& view) {
        return relays.with([&](const RelaySelector& selector) {
            return selector.choose(view.instances, own, place, failed_zones,
                                   now, random);
        });
    });
}

void
ForwardState::note_loan_refused(const RunnerPick& pick, Micros pause)
{
    loans.with([&](ShareLoans& known) {
        known.refused(pick.share_holder, pick.id, pause, monotonic_now());
    });
}

std::optional<InstanceInfo>
ForwardState::instance(std::string_view name)
{
    return fleet.with([name](const FleetView& view) {
        const auto found = view.instances.find(name);
        return found == view.instances.end() ? std::nullopt
                                             : std::optional(found->second);
    });
}

void
ForwardState::relay_helped(std::string_view address)
{
    relays.with(
        [address](RelaySelector& selector) { selector.helped(address); });
}

void
ForwardState::relay_failed(std::string_view address, const RunnerPlace& place)
{
    relays.with([&](RelaySelector& selector) {
        selector.failed(address, place, monotonic_now());
    });
}

std::optional<ListedRunner>
ForwardState::listed_runner(std::string_view runner)
{
    return runners.with([runner](const RunnerTable& table) {
        const RunnerEntry* entry = table.entry(runner);
        return entry ? std::optional(entry->listed) : std::nullopt;
    });
}

std::optional<ListedRunner>
ForwardState::draw_runner(const RunnerGroup& group, std::string_view except)
{
    const auto cut = paths.with(
        [](const RunnerPaths& known) { return known.cut_runners(); });
    return runners.with([&](const RunnerTable& table) {
        const auto& entries = table.entries();
        std::optional<ListedRunner> drawn;
        if (entries.empty())
            return drawn;
        const auto start =
            static_cast<std::ptrdiff_t>(random_bits() % entries.size());
        auto next = std::next(entries.begin(), start);
        for (std::size_t seen = 0; seen < entries.size(); ++seen) {
            const auto& [id, entry] = *next;
            if (++next == entries.end())
                next = entries.begin();
            if (id == except || entry.leaves() ||
                !group.contains(entry.listed.place()))
                continue;
            if (!cut.contains(id))
                return std::optional(entry.listed);
            if (!drawn)
                drawn = entry.listed;
        }
        return drawn;
    });
}

} // namespace crosslink
