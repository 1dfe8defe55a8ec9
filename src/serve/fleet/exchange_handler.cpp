// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_handler.h"

#include <adapters/clock.h>

#include <crosslink/base/error.h>

#include <utility>

namespace crosslink
{

namespace
{

/// Largest number of busy runners of all zones whose load an exchange brings.
/// Of 45 bytes each, ten times a second, they take 17 of the 20 Mbit/s of a
/// weak link that 16 instances poll.
constexpr std::size_t max_load_rows = 300;

} // namespace

ExchangeHandler::ExchangeHandler(ForwardState& state, Coordinator& coordinator,
                                 ChangeReceiver& changes)
    : m_state(state), m_coordinator(coordinator), m_changes(changes)
{
}

ExchangeResponse
ExchangeHandler::exchange(const ExchangeRequest& request)
{
    const TimePoint now = monotonic_now();
    require_admission(request, now);
    m_state.merge_peer_report(request.lost, now);
    m_state.merge_peer_report(request.crashes, now);
    m_state.merge_peer_report(request.limits);
    m_state.merge_peer_report(request.leaving);
    const auto fetches = m_state.fetches.with([&](FetchDelayTracker& tracker) {
        for (const FetchSamples& samples : request.fetches)
            tracker.add_remote_samples(samples, now);
        return tracker.delays(now);
    });
    ExchangeResponse response = m_coordinator.may_answer()
                                    ? m_coordinator.exchange(request)
                                    : forward_parent_response(request, now);
    limit_load(response, request.zone);
    response.lost = m_state.lost_contacts(now);
    response.crashes = m_state.crash_updates(now);
    response.limits = m_state.limit_updates(now);
    response.leaving = m_state.leaving_updates();
    response.fetches = fetches;
    response.holders = m_changes.former_holders(now);
    // Asked first: changes may arrive in between, and the page then has more.
    response.changes_age = m_changes.age(now);
    response.changes = m_changes.changes_since(request.known_position);
    response.changes_age += m_changes.since_packed(response.changes, now);
    response.lapse_window = m_changes.lapse_window(now);
    return response;
}

void
ExchangeHandler::require_admission(const ExchangeRequest& request,
                                   TimePoint now)
{
    const bool admitted = m_admission.with([&](ChildAdmission& admission) {
        return admission.admit(request.instance, now);
    });
    if (admitted)
        return;
    ++m_state.counters.polls_refused;
    throw Error(ErrorCode::PeerUnavailable, "too many instances poll this one");
}

/// Leaves out the load on runners of other zones than `zone` where it is large:
/// an instance sends there only when its own zone has no room, and the load
/// grows with the fleet.
void
ExchangeHandler::limit_load(ExchangeResponse& response, std::string_view zone)
{
    if (zone.empty() || response.others.size() <= max_load_rows)
        return;
    m_state.runners.with([&](const RunnerTable& table) {
        table.keep_zone(response.others, zone);
    });
    response.own_zone_only = true;
}

std::map<std::string, RunnerLoad>
ExchangeHandler::subtree_load(TimePoint now)
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    return m_children.with([&](LoadAggregator& loads) {
        loads.record_report(m_state.settings.name, own, now);
        return loads.sum(now);
    });
}

AccountUsages
ExchangeHandler::subtree_usage(TimePoint now)
{
    const auto own = m_state.fair_shares.with(
        [now](const FairShareTracker& shares) { return shares.report(now); });
    return m_child_usage.with([&](UsageAggregator& usage) {
        usage.record_report(m_state.settings.name, own, now);
        return usage.sum(now);
    });
}

/// Records the usage in `request`, and returns that of all others that ask this
/// instance.
AccountUsages
ExchangeHandler::exchange_usage(const ExchangeRequest& request, TimePoint now)
{
    const auto own = m_state.fair_shares.with(
        [now](const FairShareTracker& shares) { return shares.report(now); });
    return m_child_usage.with([&](UsageAggregator& usage) {
        usage.record_report(m_state.settings.name, own, now);
        usage.record_report(request.instance, request.usage, now);
        return usage.others(request.instance, now);
    });
}

SpeedReport
ExchangeHandler::subtree_speed(TimePoint now)
{
    const SpeedReport own = m_state.runners.with(
        [now](RunnerTable& table) { return table.speed_report(now); });
    return m_child_speeds.with([&](SpeedAggregator& speeds) {
        speeds.record_report(m_state.settings.name, own, now);
        return speeds.others({}, now);
    });
}

/// Records the speeds in `request`, and returns those of all others that ask
/// this instance, with its own of the last subtree_speed().
SpeedReport
ExchangeHandler::exchange_speed(const ExchangeRequest& request, TimePoint now)
{
    return m_child_speeds.with([&](SpeedAggregator& speeds) {
        speeds.record_report(request.instance, request.speed, now);
        return speeds.others(request.instance, now);
    });
}

void
ExchangeHandler::store_parent_response(const ExchangeResponse& response,
                                       TimePoint asked)
{
    m_parent_response.with([&](ParentResponse& stored) {
        stored.response = response;
        stored.response.changes = {};
        stored.response.kept = {};
        stored.sent_at = asked - response.age;
    });
}

Micros
ExchangeHandler::age(TimePoint now)
{
    if (m_coordinator.may_answer())
        return Micros{0};
    return m_parent_response.with([now](const ParentResponse& stored) {
        return std::chrono::duration_cast<Micros>(now - stored.sent_at);
    });
}

ExchangeResponse
ExchangeHandler::forward_parent_response(const ExchangeRequest& request,
                                         TimePoint now)
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    const auto children = m_children.with([&](LoadAggregator& loads) {
        loads.record_report(request.instance, request.load, now);
        loads.record_report(m_state.settings.name, own, now);
        return loads.others(request.instance, now);
    });
    ParentResponse stored =
        m_parent_response.with([](const ParentResponse& last) { return last; });
    ExchangeResponse response;
    response.others = children;
    response.usage = exchange_usage(request, now);
    response.speed = exchange_speed(request, now);
    response.age = now - stored.sent_at;
    if (response.age <= load_holds) {
        add_load(response.others,
                 m_state.runners.with([&](const RunnerTable& table) {
                     return table.aged_load(std::move(stored.response.others),
                                            response.age, now);
                 }));
        add_load(response.usage, stored.response.usage);
        SpeedReport speed = std::move(stored.response.speed);
        speed.age_by(response.age);
        response.speed.add(speed);
        response.speed.limit();
        response.own_zone_only = stored.response.own_zone_only;
        response.loading = stored.response.loading;
        response.loaded = stored.response.loaded;
    }
    m_state.merge_peer_report(request.weights, now);
    response.weights = m_state.weights_ages(now);
    response.platform_reached = m_state.reaches_platform();
    response.kept = m_state.kept.with([&](const KeptReplica& replica) {
        return replica.update_since(request.kept_term, request.kept_place, now);
    });
    return response;
}

} // namespace crosslink
