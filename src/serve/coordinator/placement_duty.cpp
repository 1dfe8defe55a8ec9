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
/// Pauses between two questions to other instances: while runners that this
/// one does not reach are due for new weights, and otherwise.
constexpr Micros urgent_ask_pause = round_pause;
constexpr Micros calm_ask_pause = std::chrono::seconds(4);
/// A new holder first orders the runners that it reaches.
constexpr Micros min_acting_time = std::chrono::milliseconds(1500);

} // namespace

PlacementDuty::PlacementDuty(ForwardState& state, WeightsDuty& weights,
                             std::function<void(const InstanceInfo&)> pass_on)
    : m_state(state), m_weights(weights), m_pass_on(std::move(pass_on)),
      m_duty(
          "placement", [this] { return round(); }, Duty::Begin::OnStart)
{
}

void
PlacementDuty::start()
{
    m_duty.stop();
    m_acts_since.reset();
    m_asked.clear();
    m_duty.start();
}

Micros
PlacementDuty::round()
{
    const TimePoint now = monotonic_now();
    const auto missed = missed_runners();
    if (!has_acted(now) || missed.empty())
        return round_pause;
    const DutyPlacement::HolderReach own = own_reach(missed, now);
    const auto runners = DutyPlacement::runners_to_ask(own);
    if (runners.empty())
        return round_pause;
    ask(own, runners);
    const bool urgent = std::any_of(own.unreached.begin(), own.unreached.end(),
                                    [](const auto& item) { return item.due; });
    return urgent ? urgent_ask_pause : calm_ask_pause;
}

/// Returns the listed runners that this instance does not reach, and since when
/// that is known: only others reach them, or they gave no report.
std::map<std::string, TimePoint, std::less<>>
PlacementDuty::missed_runners()
{
    auto missed = m_weights.silent_runners();
    const auto cut = m_state.paths.with(
        [](const RunnerPaths& paths) { return paths.cut_runners(); });
    for (const auto& [runner, since] : cut) {
        const auto [known, is_new] = missed.emplace(runner, since);
        known->second = std::min(known->second, since);
    }
    if (!missed.empty())
        m_state.runners.with([&missed](const RunnerTable& table) {
            std::erase_if(missed, [&table](const auto& item) {
                return !table.entry(item.first);
            });
        });
    return missed;
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
PlacementDuty::own_reach(
    const std::map<std::string, TimePoint, std::less<>>& missed, TimePoint now)
{
    const auto outdated = m_weights.outdated();
    DutyPlacement::HolderReach own;
    own.listed = m_state.runners.with(
        [](const RunnerTable& table) { return table.entries().size(); });
    for (const auto& [runner, since] : missed)
        own.unreached.push_back(
            {runner, std::chrono::duration_cast<Micros>(now - since),
             outdated.contains(runner)});
    std::copy_if(outdated.begin(), outdated.end(),
                 std::back_inserter(own.reached_due),
                 [&missed](const std::string& runner) {
                     return !missed.contains(runner);
                 });
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
/// None is drawn again before all were: few may reach what this one misses, and
/// the runners wait for their weights meanwhile.
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
    auto& drawn = strong.empty() ? weak : strong;
    if (drawn.empty())
        return std::nullopt;
    const auto is_asked = [this](const InstanceInfo& instance) {
        return m_asked.contains(instance.name);
    };
    if (std::all_of(drawn.begin(), drawn.end(), is_asked))
        m_asked.clear();
    std::erase_if(drawn, is_asked);
    InstanceInfo peer = drawn[random_bits() % drawn.size()];
    m_asked.insert(peer.name);
    return peer;
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
