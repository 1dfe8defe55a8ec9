// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_duty.h"

#include "fleet_rpc.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace crosslink
{

namespace
{

/// With the holder of the duty, which may be in another zone, and is asked by
/// the parents of all zones.
constexpr Micros exchange_pause = std::chrono::milliseconds(150);
/// With a parent of the own zone, whose runners get most of the calls. A prompt
/// of 9,000 tokens is read in 160 ms: a picture older than that shows idle
/// runners as busy.
constexpr Micros near_pause = std::chrono::milliseconds(100);
constexpr Micros after_failure = std::chrono::milliseconds(400);
/// Where there is another parent to ask.
constexpr Micros before_next_parent = std::chrono::milliseconds(20);
/// A parent that failed is asked last for so long.
constexpr Micros avoided_for = std::chrono::seconds(2);
/// As long as nothing is known of what is kept, all prompts are read whole.
constexpr Micros after_failure_unlearned = std::chrono::milliseconds(80);
/// After so many exchanges that failed another instance is asked who has the
/// duty; one may fail while it passes on.
constexpr int failures_to_ask = 2;
/// A runner that loads gets nothing until the next exchanges.
constexpr Micros loading_hold = std::chrono::milliseconds(350);

} // namespace

ExchangeDuty::ExchangeDuty(ForwardState& state, Coordinator& coordinator,
                           ExchangeHandler& desk, ChangeReceiver& news)
    : m_state(state), m_coordinator(coordinator), m_desk(desk), m_news(news),
      m_duty("exchange", [this] { return round(); })
{
}

/// Returns what this instance tells its parent.
ExchangeRequest
ExchangeDuty::request(TimePoint now)
{
    ExchangeRequest request;
    request.instance = m_state.settings.name;
    // Only those that are to be asked speak for others: of two that asked each
    // other, each would count the other's load as its own.
    if (m_state.is_parent())
        request.load = m_desk.group_load(now);
    else
        request.load = m_state.runners.with(
            [](RunnerTable& table) { return table.own_load(); });
    std::tie(request.kept_term, request.kept_place) = m_state.kept.with(
        [](KeptReplica& replica) { return replica.position(); });
    request.weights = m_state.weights_ages(now);
    request.lost = m_state.lost_contacts(now);
    request.crashes = m_state.crash_updates(now);
    request.limits = m_state.limit_updates(now);
    request.leaving = m_state.leaving_updates();
    request.fetches = m_state.fetches.with(
        [](FetchDelayTracker& watch) { return watch.take_unreported(); });
    request.news_place = m_news.place();
    return request;
}

/// Returns the address of the parent to ask at `now`; empty for none. Those
/// that failed a moment ago come last, the earliest of them first.
std::string
ExchangeDuty::choose_parent(TimePoint now)
{
    std::erase_if(m_avoided,
                  [now](const auto& item) { return item.second <= now; });
    const std::vector<std::string> parents = m_state.tree_position().parents;
    const auto avoided_until = [this](const std::string& address) {
        const auto found = m_avoided.find(address);
        return found == m_avoided.end() ? TimePoint{} : found->second;
    };
    const auto best =
        std::min_element(parents.begin(), parents.end(),
                         [&](const std::string& a, const std::string& b) {
                             return avoided_until(a) < avoided_until(b);
                         });
    return best == parents.end() ? std::string() : *best;
}

ExchangeResponse
ExchangeDuty::ask(const ExchangeRequest& request)
{
    if (m_coordinator.may_answer()) {
        m_parent.clear();
        return m_coordinator.exchange(request);
    }
    const std::string parent = choose_parent(monotonic_now());
    if (parent.empty())
        throw Error(ErrorCode::LeaseLost, "no instance to ask is known");
    if (parent != m_parent || !m_client) {
        m_client = std::make_unique<FleetClient>(parent);
        LogLine("parent_chosen").field("address", parent);
    }
    m_parent = parent;
    return m_client->exchange(request);
}

/// Takes in what the parent answered to a question of `asked`.
void
ExchangeDuty::take(const ExchangeResponse& response, TimePoint asked)
{
    const TimePoint now = monotonic_now();
    m_desk.parent_told(response, asked);
    m_state.counters.load_age.add(now - asked + response.age);
    m_state.counters.news_age.add(now - asked + response.news_age);
    m_news.learn_holders(response.holders);
    m_news.told_by_instance(response.news, asked - response.news_age);
    m_state.runners.with([&](RunnerTable& table) {
        table.others_told(response.others, asked - response.load_age - pause());
        for (const std::string& runner : response.loading)
            table.loads(runner, now, loading_hold);
    });
    m_state.kept.with(
        [&](KeptReplica& replica) { replica.take(response.kept, asked); });
    for (const RunnerWeights& loaded : response.loaded)
        m_state.note_runner_weights({loaded.runner, loaded.start_ms},
                                    loaded.model, loaded.version, "holder");
    m_state.merge_peer_report(response.weights, now);
    m_state.merge_peer_report(response.lost, asked);
    m_state.merge_peer_report(response.crashes, asked);
    m_state.merge_peer_report(response.limits);
    m_state.merge_peer_report(response.leaving);
    m_state.fetches.with([&](FetchDelayTracker& watch) {
        for (const FetchDelay& fetch : response.fetches)
            watch.set_fleet_delay(fetch, asked);
    });
    if (response.platform_reached)
        m_state.fleet.with(
            [now](FleetView& view) { view.reach.reached_by_another(now); });
}

/// Avoids a parent that has lost the holder of the duty, or its own parent.
void
ExchangeDuty::avoid_if_cut_off(const ExchangeResponse& response, TimePoint now)
{
    if (!m_parent.empty() && response.age > load_holds)
        m_avoided[m_parent] = now + avoided_for;
}

Micros
ExchangeDuty::round()
{
    const TimePoint asked = monotonic_now();
    const ExchangeRequest told = request(asked);
    try {
        const ExchangeResponse response = ask(told);
        take(response, asked);
        avoid_if_cut_off(response, monotonic_now());
        m_failures = 0;
        return pause();
    } catch (const std::exception& failure) {
        return failed(failure);
    }
}

/// Returns the pause between two exchanges. What others told their parent is up
/// to one old when it is summed.
Micros
ExchangeDuty::pause()
{
    if (m_parent.empty())
        return exchange_pause;
    const std::string holder = m_state.fleet.with(
        [](const FleetView& view) { return view.coordinator_address(); });
    return m_parent == holder ? exchange_pause : near_pause;
}

/// Returns the pause after an exchange that failed. Without the others the own
/// load is all that is known.
Micros
ExchangeDuty::failed(const std::exception& failure)
{
    spdlog::debug("exchange with {}: {}", m_parent, failure.what());
    const TimePoint now = monotonic_now();
    if (!m_parent.empty())
        m_avoided[m_parent] = now + avoided_for;
    if (++m_failures >= failures_to_ask)
        ask_for_holder();
    const std::string next = choose_parent(now);
    if (!next.empty() && !m_avoided.contains(next))
        return before_next_parent;
    const bool unlearned = m_state.kept.with(
        [](KeptReplica& replica) { return replica.position().first == 0; });
    return unlearned ? after_failure_unlearned : after_failure;
}

/// Asks one of the other instances who has the duty: the platform, which tells
/// that first, may be out of reach from here.
void
ExchangeDuty::ask_for_holder()
{
    std::vector<std::string> others;
    m_state.fleet.with([&](FleetView& view) {
        for (const auto& [name, instance] : view.instances)
            if (name != m_state.settings.name)
                others.push_back(instance.address);
    });
    if (others.empty())
        return;
    try {
        const std::string holder =
            FleetClient(others[random_bits() % others.size()]).holder();
        if (holder.empty())
            return;
        m_state.fleet.with(
            [&](FleetView& view) { view.peer_reported_coordinator = holder; });
        LogLine("duty_holder_told").field("address", holder);
    } catch (const Error& failure) {
        spdlog::debug("holder: {}", failure.what());
    }
}

} // namespace crosslink
