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

/// Pause between exchanges with the coordinator, which may be in another zone,
/// and serves the parents of all zones.
constexpr Micros coordinator_pause = std::chrono::milliseconds(150);
/// Pause between exchanges with a parent in the same zone, whose runners get
/// most of the calls. A prompt of 9,000 tokens is read in 160 ms: load data
/// older than that shows idle runners as busy.
constexpr Micros parent_pause = std::chrono::milliseconds(100);
constexpr Micros failure_pause = std::chrono::milliseconds(400);
/// Pause after a failure where there is another parent to ask.
constexpr Micros next_parent_pause = std::chrono::milliseconds(20);
/// How long other parents are preferred to one that failed.
constexpr Micros avoidance_time = std::chrono::seconds(2);
/// Pause after a failure before the first copy of the directory of stored
/// parts: until then, all prompts are read whole.
constexpr Micros failure_pause_without_directory =
    std::chrono::milliseconds(80);
/// Consecutive failures after which another instance is asked for the
/// coordinator's address. One exchange may fail while the duty passes to
/// another instance.
constexpr int failures_before_asking_peer = 2;
/// How long a runner that loads weights gets no calls: until the next exchanges
/// extend it.
constexpr Micros loading_hold = std::chrono::milliseconds(350);

} // namespace

ExchangeDuty::ExchangeDuty(ForwardState& state, Coordinator& coordinator,
                           ExchangeHandler& handler, ChangeReceiver& changes)
    : m_state(state), m_coordinator(coordinator), m_handler(handler),
      m_changes(changes), m_duty("exchange", [this] { return round(); })
{
}

/// Returns the request with this instance's report to its parent.
ExchangeRequest
ExchangeDuty::make_request(TimePoint now)
{
    ExchangeRequest request;
    request.instance = m_state.settings.name;
    request.zone = m_state.settings.zone;
    // Only parents report the load of others with their own: if two instances
    // asked each other, each would count the other's load as its own.
    if (m_state.is_parent()) {
        request.load = m_handler.subtree_load(now);
        request.usage = m_handler.subtree_usage(now);
        request.speed = m_handler.subtree_speed(now);
    } else {
        request.load = m_state.runners.with(
            [](RunnerTable& table) { return table.own_load(); });
        request.usage =
            m_state.fair_shares.with([now](const FairShareTracker& shares) {
                return shares.report(now);
            });
        request.speed = m_state.runners.with(
            [now](RunnerTable& table) { return table.speed_report(now); });
    }
    std::tie(request.kept_term, request.kept_place) = m_state.kept.with(
        [](KeptReplica& replica) { return replica.position(); });
    request.weights = m_state.weights_ages(now);
    request.lost = m_state.lost_contacts(now);
    request.crashes = m_state.crash_updates(now);
    request.limits = m_state.limit_updates(now);
    request.leaving = m_state.leaving_updates();
    request.fetches = m_state.fetches.with(
        [](FetchDelayTracker& tracker) { return tracker.take_unreported(); });
    request.known_position = m_changes.position();
    return request;
}

/// Returns the addresses that this instance may poll.
std::vector<std::string>
ExchangeDuty::possible_parents()
{
    const auto named =
        m_state.start_parents.with([](const auto& parents) { return parents; });
    if (named && !m_changes.position())
        return *named;
    return m_state.tree_position().parents;
}

/// Returns the address of the parent to ask at `now`; empty for none. Parents
/// that failed recently come last, the earliest failure first.
std::string
ExchangeDuty::choose_parent(TimePoint now)
{
    std::erase_if(m_avoided,
                  [now](const auto& item) { return item.second <= now; });
    const std::vector<std::string> parents = possible_parents();
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
ExchangeDuty::send(const ExchangeRequest& request)
{
    if (m_coordinator.may_answer()) {
        m_parent.clear();
        return m_coordinator.exchange(request);
    }
    const std::string parent = choose_parent(monotonic_now());
    if (parent.empty())
        throw Error(ErrorCode::LeaseLost, "no parent is known");
    if (parent != m_parent || !m_client) {
        m_client = std::make_unique<FleetClient>(parent);
        LogLine("parent_chosen").field("address", parent);
    }
    m_parent = parent;
    return m_client->exchange(request);
}

/// Applies the parent's response to a request that was sent at `asked`.
void
ExchangeDuty::apply(const ExchangeResponse& response, TimePoint asked)
{
    const TimePoint now = monotonic_now();
    m_handler.store_parent_response(response, asked);
    m_state.counters.load_age.add(now - asked + response.age);
    m_state.counters.news_age.add(now - asked + response.changes_age);
    m_changes.merge_former_holders(response.holders);
    m_changes.apply_from_peer(response.changes, asked - response.changes_age,
                              response.lapse_window);
    m_state.runners.with([&](RunnerTable& table) {
        table.set_remote_load(
            response.others, asked - response.load_age - pause(),
            response.own_zone_only ? m_state.settings.zone : std::string());
        table.apply_speed_report(response.speed, asked - response.load_age);
        for (const std::string& runner : response.loading)
            table.loads(runner, now, loading_hold);
    });
    m_state.fair_shares.with([&](FairShareTracker& shares) {
        shares.set_others(response.usage, asked - response.load_age);
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
    m_state.fetches.with([&](FetchDelayTracker& tracker) {
        for (const FetchDelay& fetch : response.fetches)
            tracker.set_fleet_delay(fetch, asked);
    });
    if (response.platform_reached)
        m_state.fleet.with(
            [now](FleetView& view) { view.reach.reached_by_another(now); });
}

/// Avoids a parent that has lost contact with the coordinator or with its own
/// parent.
void
ExchangeDuty::avoid_if_outdated(const ExchangeResponse& response, TimePoint now)
{
    if (!m_parent.empty() && response.age > load_holds)
        m_avoided[m_parent] = now + avoidance_time;
}

Micros
ExchangeDuty::round()
{
    const TimePoint asked = monotonic_now();
    const ExchangeRequest request = make_request(asked);
    try {
        const ExchangeResponse response = send(request);
        apply(response, asked);
        avoid_if_outdated(response, monotonic_now());
        m_failures = 0;
        return pause();
    } catch (const std::exception& failure) {
        return handle_failure(failure);
    }
}

/// Returns the pause between two exchanges. The load that other instances
/// reported to their parent is up to one pause old when it is summed.
Micros
ExchangeDuty::pause()
{
    if (m_parent.empty())
        return coordinator_pause;
    const std::string holder = m_state.fleet.with(
        [](const FleetView& view) { return view.coordinator_address(); });
    return m_parent == holder ? coordinator_pause : parent_pause;
}

/// Handles a failed exchange, and returns the pause before the next one.
/// Without responses, this instance knows only its own load.
Micros
ExchangeDuty::handle_failure(const std::exception& failure)
{
    spdlog::debug("exchange with parent {} failed: {}", m_parent,
                  failure.what());
    const TimePoint now = monotonic_now();
    if (!m_parent.empty())
        m_avoided[m_parent] = now + avoidance_time;
    if (++m_failures >= failures_before_asking_peer)
        ask_peer_for_coordinator();
    const std::string next = choose_parent(now);
    if (!next.empty() && !m_avoided.contains(next))
        return next_parent_pause;
    const bool without_directory = m_state.kept.with(
        [](KeptReplica& replica) { return replica.position().first == 0; });
    return without_directory ? failure_pause_without_directory : failure_pause;
}

/// Asks a random other instance for the coordinator's address. The platform is
/// its primary source, but may be unreachable from here.
void
ExchangeDuty::ask_peer_for_coordinator()
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
            FleetClient(others[random_bits() % others.size()])
                .coordinator_address();
        if (holder.empty())
            return;
        m_state.fleet.with(
            [&](FleetView& view) { view.peer_reported_coordinator = holder; });
        LogLine("duty_holder_told").field("address", holder);
    } catch (const Error& failure) {
        spdlog::debug("request for the coordinator's address failed: {}",
                      failure.what());
    }
}

} // namespace crosslink
