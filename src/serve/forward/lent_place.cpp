// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "lent_place.h"

#include "forward_state.h"

#include <adapters/clock.h>
#include <adapters/random.h>

#include <crosslink/forward/share_loans.h>

#include <algorithm>

namespace crosslink
{

LentPlace::LentPlace(ForwardState& state, const RunnerPick& runner)
    : m_state(state), m_runner(runner)
{
}

LentPlace::~LentPlace()
{
    end();
}

std::optional<Micros>
LentPlace::take(bool above_share)
{
    RunnerQuery query = m_state.runner_query(m_runner.service);
    query.account_above_share = above_share;
    const auto free = m_state.runners.with([&](RunnerTable& table) {
        return table.lend(m_runner.incarnation(), query);
    });
    m_taken = !free;
    ++(m_taken ? m_state.counters.shares_lent : m_state.counters.shares_denied);
    if (m_taken)
        return std::nullopt;
    return std::min(
        ShareLoans::max_pause,
        std::chrono::duration_cast<Micros>(*free - std::min(*free, query.now)));
}

void
LentPlace::refused()
{
    if (!m_taken)
        return;
    end();
    m_state.runners.with([this](RunnerTable& table) {
        table.found_no_room(m_runner.incarnation(), monotonic_now(),
                            random_bits());
    });
}

void
LentPlace::end()
{
    if (m_taken)
        m_state.runners.with([this](RunnerTable& table) {
            table.loan_ended(m_runner.incarnation());
        });
    m_taken = false;
}

} // namespace crosslink
