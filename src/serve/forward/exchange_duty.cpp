// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_duty.h"

#include "fleet_calls.h"

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

/// A prompt of 9,000 tokens is read in 160 ms: a picture older than that is
/// of little use.
constexpr Micros exchange_pause = std::chrono::milliseconds(150);
/// In a large fleet each instance has a small part of the load, and the holder
/// of the duty answers all of them: with this pause for each instance it gives
/// 500 answers a second, whatever the fleet's size, until the longest pause is
/// reached. Older pictures let instances crowd at one runner.
constexpr Micros pause_for_instance = std::chrono::milliseconds(2);
/// What the others told counts for a second.
constexpr Micros longest_pause = std::chrono::milliseconds(400);
constexpr Micros after_failure = std::chrono::milliseconds(400);
/// As long as nothing is known of what is kept, all prompts are read whole.
constexpr Micros after_failure_unlearned = std::chrono::milliseconds(80);
/// After so many exchanges that failed another instance is asked who has the
/// duty; one may fail while it passes on.
constexpr int failures_to_ask = 2;
/// A runner that loads gets nothing until the next exchanges.
constexpr Micros loading_hold = std::chrono::milliseconds(350);

} // namespace

ExchangeDuty::ExchangeDuty(ForwardState& state, StewardLink& steward)
    : m_state(state), m_steward(steward),
      m_duty("exchange", [this] { return round(); })
{
}

/// Returns what this instance tells the duty's holder, without the weights.
ExchangeQuestion
ExchangeDuty::question()
{
    ExchangeQuestion question;
    question.instance = m_state.settings.name;
    question.load = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    std::tie(question.kept_term, question.kept_place) = m_state.kept.with(
        [](KeptReplica& replica) { return replica.position(); });
    return question;
}

/// Takes in what the duty's holder answered to a question of `asked`.
void
ExchangeDuty::take(const ExchangeAnswer& answer, TimePoint asked)
{
    const TimePoint now = monotonic_now();
    m_state.runners.with([&](RunnerTable& table) {
        table.others_told(answer.others, now);
        for (const std::string& runner : answer.loading)
            table.refused(runner, now, loading_hold);
    });
    m_state.kept.with(
        [&](KeptReplica& replica) { replica.take(answer.kept, asked); });
    for (const RunnerWeights& loaded : answer.loaded)
        m_state.learned_weights(loaded.runner, loaded.model, loaded.version,
                                "holder");
    m_state.heard_of(answer.weights, now);
    if (answer.platform_reached)
        m_state.fleet.with(
            [now](FleetView& view) { view.reach.reached_by_another(now); });
}

Micros
ExchangeDuty::round()
{
    ExchangeQuestion told = question();
    const TimePoint asked = monotonic_now();
    told.weights = m_state.weights_ages(asked);
    try {
        const ExchangeAnswer answer = m_steward.with(
            [&](auto& steward) { return steward.exchange(told); });
        take(answer, asked);
        m_failures = 0;
        return std::clamp(pause_for_instance *
                              static_cast<int>(m_state.instance_count()),
                          exchange_pause, longest_pause);
    } catch (const std::exception& failure) {
        // Without the duty's holder the own load is all that is known.
        spdlog::debug("exchange: {}", failure.what());
        if (++m_failures >= failures_to_ask)
            ask_for_holder();
        return told.kept_term == 0 ? after_failure_unlearned : after_failure;
    }
}

/// Asks one of the other instances who has the duty: the platform, which tells
/// that first, may be out of reach from here.
void
ExchangeDuty::ask_for_holder()
{
    std::vector<std::string> others;
    m_state.fleet.with([&](FleetView& view) {
        for (const auto& [name, address] : view.instances)
            if (name != m_state.settings.name)
                others.push_back(address);
    });
    if (others.empty())
        return;
    try {
        const std::string holder =
            FleetClient(others[random_bits() % others.size()]).holder();
        if (holder.empty())
            return;
        m_state.fleet.with(
            [&](FleetView& view) { view.told_steward = holder; });
        LogLine("duty_holder_told").field("address", holder);
    } catch (const Error& failure) {
        spdlog::debug("holder: {}", failure.what());
    }
}

} // namespace crosslink
