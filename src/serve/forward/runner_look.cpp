// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_look.h"

#include "forward_state.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>

#include <utility>

namespace crosslink
{

namespace
{

/// Instances that are asked about a runner, one after the other.
constexpr int max_asked = 2;
/// Time after which own_reach() asks no more runners.
constexpr Micros reach_time = std::chrono::milliseconds(300);
/// Runners that are tried to find out whether the own path works.
constexpr int max_tried = 3;

/// Asks other instances whether they reach `runner`. Nothing if none can tell.
std::optional<ProcessFate>
ask_others(ForwardState& state, const RunnerPlace& place)
{
    FailedZones failed_zones;
    for (int asked = 0; asked < max_asked; ++asked) {
        const auto peer = state.choose_relay(place, failed_zones);
        if (!peer)
            break;
        try {
            const auto fate = FleetClient(peer->address)
                                  .look_at_runner(std::string(place.runner));
            if (fate)
                return fate;
        } catch (const Error& failure) {
            LogLine("look_not_answered")
                .field("instance", peer->name)
                .field("error", failure.what());
        }
        state.relay_failed(peer->address, place);
        failed_zones.insert(peer->zone);
    }
    return std::nullopt;
}

/// Returns whether a runner answers on a connection that was just made, and
/// keeps that for the next call if so.
bool
keep_look(ForwardState& state, const RunnerPlace& place,
          const std::string& address, PortLook look)
{
    const TimePoint opened_at = monotonic_now();
    if (!look.connection || !state.ports.orders.answers(address))
        return false;
    state.note_runner_answered(place, opened_at);
    state.connections.put_back(address, std::move(look.connection),
                               CallConnections::idle_untold, opened_at);
    return true;
}

/// Tells a runner whose port takes connections, but which answers nothing, from
/// one of which something in between takes them: others get answers of that.
RunnerLook
look_at_mute(ForwardState& state, const RunnerPlace& place)
{
    const bool is_cut = ask_others(state, place) == ProcessFate::Alive;
    if (is_cut)
        state.note_path_cut(place);
    return {ProcessFate::Alive, is_cut};
}

/// Returns how much of its path this instance presumes cut.
RelayFailure
known_cut(ForwardState& state, const RunnerPlace& place)
{
    return state.paths.with([&place](const RunnerPaths& paths) {
        if (paths.all_cut())
            return RelayFailure::NoPath;
        return paths.service_cut(std::string(place.service))
                   ? RelayFailure::ServiceCut
                   : RelayFailure::RunnerCut;
    });
}

} // namespace

bool
reaches_runner(ForwardState& state, const ListedRunner& runner)
{
    return keep_look(state, runner.place(), runner.address,
                     look_at_port(runner.address, state.single_fields));
}

RunnerLook
look_at_runner(ForwardState& state, const RunnerPlace& place,
               const std::string& address)
{
    return confirm_look(state, place, address,
                        look_at_port(address, state.single_fields));
}

RunnerLook
confirm_look(ForwardState& state, const RunnerPlace& place,
             const std::string& address, PortLook direct)
{
    const TimePoint now = monotonic_now();
    const ProcessFate fate = direct.fate;
    if (keep_look(state, place, address, std::move(direct)))
        return {ProcessFate::Alive, false};
    if (fate == ProcessFate::Alive)
        return look_at_mute(state, place);
    const bool known_down = state.paths.with([&](const RunnerPaths& paths) {
        return paths.is_down(place.runner, now);
    });
    if (known_down)
        return {fate, false};
    const auto told = ask_others(state, place);
    if (told == ProcessFate::Alive) {
        state.note_path_cut(place);
        return {ProcessFate::Alive, true};
    }
    if (told) {
        state.paths.with([&](RunnerPaths& paths) {
            paths.down(place.runner, monotonic_now());
        });
        return {fate, false};
    }
    const bool is_alone = state.instance_count() == 1;
    const bool is_sure = is_alone || reaches_others(state, place);
    return {is_sure ? fate : ProcessFate::Unknown, false};
}

bool
reaches_others(ForwardState& state, const RunnerPlace& except)
{
    for (int tried = 0; tried < max_tried; ++tried) {
        const auto other = state.draw_runner({}, except.runner);
        if (!other)
            return false;
        if (reaches_runner(state, *other))
            return true;
    }
    return false;
}

RelayFailure
why_unreachable(ForwardState& state, const RunnerPlace& place)
{
    if (state.path_to(place).relayed)
        return known_cut(state, place);
    if (!reaches_others(state, place))
        return RelayFailure::NoPath;
    const bool any = state.paths.with(
        [](const RunnerPaths& paths) { return paths.any_cut(); });
    return any ? RelayFailure::RunnerCut : RelayFailure::Unreachable;
}

DutyPlacement::PeerReach
own_reach(ForwardState& state, std::span<const std::string> runners)
{
    DutyPlacement::PeerReach reach;
    const TimePoint last = monotonic_now() + reach_time;
    for (const std::string& runner : runners) {
        const auto listed = state.listed_runner(runner);
        if (!listed || monotonic_now() >= last)
            continue;
        if (state.ports.orders.report(listed->address, {}))
            reach.reached.push_back(runner);
    }
    reach.unreached = state.paths.with(
        [](const RunnerPaths& paths) { return paths.cut_runners().size(); });
    return reach;
}

std::optional<ProcessFate>
look_for_peer(ForwardState& state, const std::string& runner)
{
    const auto listed = state.listed_runner(runner);
    if (!listed)
        return std::nullopt;
    PortLook look = look_at_port(listed->address, state.single_fields);
    const ProcessFate fate = look.fate;
    if (keep_look(state, listed->place(), listed->address, std::move(look)))
        return fate;
    const bool tells =
        fate != ProcessFate::Alive &&
        why_unreachable(state, listed->place()) == RelayFailure::Unreachable;
    return tells ? std::optional(fate) : std::nullopt;
}

} // namespace crosslink
