// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "load_duty.h"

#include <adapters/clock.h>

#include <crosslink/base/error.h>

#include <spdlog/spdlog.h>

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

LoadDuty::LoadDuty(ForwardState& state, StewardLink& steward)
    : m_state(state), m_steward(steward), m_duty("load", [this] {
          return round();
      })
{
}

Micros
LoadDuty::round()
{
    const auto own = m_state.runners.with(
        [](RunnerTable& table) { return table.own_load(); });
    try {
        const FleetLoad load = m_steward.with([&](auto& steward) {
            return steward.exchange_load(m_state.settings.name, own);
        });
        const TimePoint now = monotonic_now();
        m_state.runners.with([&](RunnerTable& table) {
            table.others_told(load.others, now);
            for (const std::string& runner : load.loading)
                table.refused(runner, now, loading_hold);
        });
        return exchange_pause;
    } catch (const Error& failure) {
        // Without the duty's holder the own load is all that is known.
        spdlog::debug("load exchange: {}", failure.what());
        return after_failure;
    }
}

} // namespace crosslink
