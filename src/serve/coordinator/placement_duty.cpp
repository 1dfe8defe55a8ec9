// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "placement_duty.h"

#include "weights_duty.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/membership/fleet_tree.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

constexpr Micros round_pause = std::chrono::milliseconds(250);
/// Pauses between two questions to other instances.
constexpr Micros first_ask_pause = round_pause;
constexpr Micros longest_ask_pause = std::chrono::seconds(4);
/// A new holder first orders the runners that it reaches.
constexpr Micros min_acting_time = std::chrono::milliseconds(1500);

} // namespace

PlacementDuty::PlacementDuty(ForwardState& state, WeightsDuty& weights,
                             std::function<void(const InstanceInfo&)> pass_on)
    : m_state(state), m_weights(weights), m_pass_on(std::move(pass_on)),
      m_ask_backoff(first_ask_pause, longest_ask_pause),
      m_duty(
          "placement", [this] { return round(); }, Duty::Begin::OnStart)
{
}

void
PlacementDuty::start()
{
    m_duty.stop();
    m_acts_since.reset();
    m_duty.start();
}

Micros
PlacementDuty::round()
{
    const TimePoint now = monotonic_now();
    const bool any_cut = m_state.paths.with(
        [](const RunnerPaths& paths) { return paths.any_cut(); });
    if (!has_acted(now) || !any_cut)
        return round_pause;
    const DutyPlacement::HolderReach own = own_reach(now);
    const auto runners = DutyPlacement::runners_to_ask(own);
    if (runners.empty()) {
        m_ask_backoff.reset();
        return round_pause;
    }
    ask(own, runners);
    return m_ask_backoff.next(random_bits());
}

/// Returns whether this instance has acted under the duty for long enough.
bool
PlacementDuty::has_acted(TimePoint now)
{
    if (!m_state.may_act())
        return false;
    if (!m_acts_since)
        m_acts_since = now;
    return now >= *m_acts_since + min_acting_time;
}

DutyPlacement::HolderReach
PlacementDuty::own_reach(TimePoint now)
{
    const auto cut = m_state.paths.with(
        [](const RunnerPaths& paths) { return paths.cut_runners(); });
    const auto outdated = m_weights.outdated();
    DutyPlacement::HolderReach own;
    own.listed = m_state.runners.with(
        [](const RunnerTable& table) { return table.entries().size(); });
    for (const auto& [runner, since] : cut)
        own.unreached.push_back(
            {runner, std::chrono::duration_cast<Micros>(now - since),
             outdated.contains(runner)});
    std::copy_if(
        outdated.begin(), outdated.end(), std::back_inserter(own.reached_due),
        [&cut](const std::string& runner) { return !cut.contains(runner); });
    // Those that are asked about are drawn anew each time.
    if (!own.reached_due.empty())
        std::rotate(own.reached_due.begin(),
                    own.reached_due.begin() +
                        static_cast<std::ptrdiff_t>(random_bits() %
                                                    own.reached_due.size()),
                    own.reached_due.end());
    return own;
}

/// Returns a random other instance; one with a strong link if there are any.
std::optional<InstanceInfo>
PlacementDuty::draw_instance()
{
    std::vector<InstanceInfo> strong;
    std::vector<InstanceInfo> weak;
    m_state.fleet.with([&](const FleetView& view) {
        for (const auto& [name, instance] : view.instances)
            if (instance.address != m_state.settings.peer_address())
                (instance.link_mbps < strong_link_mbps ? weak : strong)
                    .push_back(instance);
    });
    const auto& drawn = strong.empty() ? weak : strong;
    if (drawn.empty())
        return std::nullopt;
    return drawn[random_bits() % drawn.size()];
}

/// Asks an instance whether it reaches `runners`, and passes the duty on if
/// that helps.
void
PlacementDuty::ask(const DutyPlacement::HolderReach& own,
                   const std::vector<std::string>& runners)
{
    const auto peer = draw_instance();
    if (!peer)
        return;
    try {
        const auto reach = FleetClient(peer->address).reach(runners);
        LogLine("reach_asked")
            .field("instance", peer->name)
            .field("asked", static_cast<std::uint64_t>(runners.size()))
            .field("reached", static_cast<std::uint64_t>(reach.reached.size()))
            .field("missed", static_cast<std::uint64_t>(reach.unreached))
            .field("own_missed",
                   static_cast<std::uint64_t>(own.unreached.size()));
        if (DutyPlacement::is_better(own, runners, reach))
            m_pass_on(*peer);
    } catch (const Error& failure) {
        LogLine("reach_not_told")
            .field("instance", peer->name)
            .field("error", failure.what());
    }
}

} // namespace crosslink
