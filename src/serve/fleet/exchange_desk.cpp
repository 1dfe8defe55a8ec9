// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_desk.h"

#include <adapters/clock.h>

#include <crosslink/forward/runner_price.h>

namespace crosslink
{

ExchangeDesk::ExchangeDesk(ForwardState& state, Steward& steward,
                           NewsIntake& news)
    : m_state(state), m_steward(steward), m_news(news)
{
}

ExchangeAnswer
ExchangeDesk::exchange(const ExchangeQuestion& question)
{
    const TimePoint now = monotonic_now();
    m_state.heard_of(question.lost, now);
    m_state.heard_of(question.crashes, now);
    m_state.heard_of(question.limits);
    m_state.heard_of(question.leaving);
    const auto fetches = m_state.fetches.with([&](FetchWatch& watch) {
        for (const FetchSamples& samples : question.fetches)
            watch.seen_by_others(samples, now);
        return watch.lateness(now);
    });
    ExchangeAnswer answer = m_steward.answers() ? m_steward.exchange(question)
                                                : handed_on(question, now);
    answer.lost = m_state.lost_contacts(now);
    answer.crashes = m_state.crash_news(now);
    answer.limits = m_state.limit_news(now);
    answer.leaving = m_state.leaving_news();
    answer.fetches = fetches;
    answer.holders = m_news.holders_seen(now);
    answer.news = m_news.since(question.news_place);
    answer.news_age = m_news.age(now);
    return answer;
}

std::map<std::string, RunnerLoad>
ExchangeDesk::group_load(TimePoint now)
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    return m_children.with([&](LoadBoard& board) {
        board.told(m_state.settings.name, own, now);
        return board.sum(now);
    });
}

void
ExchangeDesk::parent_told(const ExchangeAnswer& answer, TimePoint asked)
{
    m_told.with([&](Told& told) {
        told.answer = answer;
        told.answer.news = {};
        told.answer.kept = {};
        told.at = asked - answer.age;
    });
}

Micros
ExchangeDesk::age(TimePoint now)
{
    if (m_steward.answers())
        return Micros{0};
    return m_told.with([now](const Told& told) {
        return std::chrono::duration_cast<Micros>(now - told.at);
    });
}

ExchangeAnswer
ExchangeDesk::handed_on(const ExchangeQuestion& question, TimePoint now)
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    const auto children = m_children.with([&](LoadBoard& board) {
        board.told(question.instance, question.load, now);
        board.told(m_state.settings.name, own, now);
        return board.others(question.instance, now);
    });
    const Told told = m_told.with([](const Told& last) { return last; });
    ExchangeAnswer answer;
    answer.others = children;
    answer.age = now - told.at;
    if (answer.age <= load_holds) {
        add_load(answer.others, aged_load(told.answer.others, answer.age));
        answer.loading = told.answer.loading;
        answer.loaded = told.answer.loaded;
    }
    m_state.heard_of(question.weights, now);
    answer.weights = m_state.weights_ages(now);
    answer.platform_reached = m_state.reaches_platform();
    answer.kept = m_state.kept.with([&](const KeptReplica& replica) {
        return replica.update_since(question.kept_term, question.kept_place,
                                    now);
    });
    return answer;
}

} // namespace crosslink
