// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_duty.h"

#include <adapters/clock.h>

#include <crosslink/base/error.h>

#include <spdlog/spdlog.h>

#include <tuple>

namespace crosslink
{

namespace
{

/// A prompt of 9,000 tokens is read in 160 ms: a picture older than that is
/// of little use.
constexpr Micros exchange_pause = std::chrono::milliseconds(150);
constexpr Micros after_failure = std::chrono::milliseconds(400);
/// A runner that loads gets nothing until the next exchanges.
constexpr Micros loading_hold = std::chrono::milliseconds(350);

} // namespace

ExchangeDuty::ExchangeDuty(ForwardState& state, StewardLink& steward)
    : m_state(state), m_steward(steward),
      m_duty("exchange", [this] { return round(); })
{
}

Micros
ExchangeDuty::round()
{
    ExchangeQuestion question;
    question.instance = m_state.settings.name;
    question.load = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    std::tie(question.kept_term, question.kept_place) = m_state.kept.with(
        [](KeptReplica& replica) { return replica.position(); });
    const TimePoint asked = monotonic_now();
    try {
        const ExchangeAnswer answer = m_steward.with(
            [&](auto& steward) { return steward.exchange(question); });
        const TimePoint now = monotonic_now();
        m_state.runners.with([&](RunnerTable& table) {
            table.others_told(answer.others, now);
            for (const std::string& runner : answer.loading)
                table.refused(runner, now, loading_hold);
        });
        m_state.kept.with(
            [&](KeptReplica& replica) { replica.take(answer.kept, asked); });
        return exchange_pause;
    } catch (const std::exception& failure) {
        // Without the duty's holder the own load is all that is known.
        spdlog::debug("exchange: {}", failure.what());
        return after_failure;
    }
}

} // namespace crosslink
