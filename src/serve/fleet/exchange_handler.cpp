// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_handler.h"

#include <adapters/clock.h>

#include <crosslink/forward/runner_price.h>

namespace crosslink
{

ExchangeHandler::ExchangeHandler(ForwardState& state, Coordinator& coordinator,
                                 ChangeReceiver& news)
    : m_state(state), m_coordinator(coordinator), m_news(news)
{
}

ExchangeResponse
ExchangeHandler::exchange(const ExchangeRequest& request)
{
    const TimePoint now = monotonic_now();
    m_state.merge_peer_report(request.lost, now);
    m_state.merge_peer_report(request.crashes, now);
    m_state.merge_peer_report(request.limits);
    m_state.merge_peer_report(request.leaving);
    const auto fetches = m_state.fetches.with([&](FetchDelayTracker& watch) {
        for (const FetchSamples& samples : request.fetches)
            watch.add_remote_samples(samples, now);
        return watch.delays(now);
    });
    ExchangeResponse response = m_coordinator.may_answer()
                                    ? m_coordinator.exchange(request)
                                    : handed_on(request, now);
    response.lost = m_state.lost_contacts(now);
    response.crashes = m_state.crash_updates(now);
    response.limits = m_state.limit_updates(now);
    response.leaving = m_state.leaving_updates();
    response.fetches = fetches;
    response.holders = m_news.holders_seen(now);
    response.news = m_news.since(request.news_place);
    response.news_age = m_news.age(now);
    return response;
}

std::map<std::string, RunnerLoad>
ExchangeHandler::group_load(TimePoint now)
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    return m_children.with([&](LoadAggregator& board) {
        board.told(m_state.settings.name, own, now);
        return board.sum(now);
    });
}

void
ExchangeHandler::parent_told(const ExchangeResponse& response, TimePoint asked)
{
    m_told.with([&](Told& told) {
        told.response = response;
        told.response.news = {};
        told.response.kept = {};
        told.at = asked - response.age;
    });
}

Micros
ExchangeHandler::age(TimePoint now)
{
    if (m_coordinator.may_answer())
        return Micros{0};
    return m_told.with([now](const Told& told) {
        return std::chrono::duration_cast<Micros>(now - told.at);
    });
}

ExchangeResponse
ExchangeHandler::handed_on(const ExchangeRequest& request, TimePoint now)
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    const auto children = m_children.with([&](LoadAggregator& board) {
        board.told(request.instance, request.load, now);
        board.told(m_state.settings.name, own, now);
        return board.others(request.instance, now);
    });
    const Told told = m_told.with([](const Told& last) { return last; });
    ExchangeResponse response;
    response.others = children;
    response.age = now - told.at;
    if (response.age <= load_holds) {
        add_load(response.others,
                 aged_load(told.response.others, response.age));
        response.loading = told.response.loading;
        response.loaded = told.response.loaded;
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
