// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange.h"
#include "news_intake.h"

#include <serve/forward/forward_state.h>
#include <serve/guarded.h>
#include <serve/steward/steward.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/load_board.h>

#include <map>
#include <string>

namespace crosslink
{

/// Answers the instances that ask this one: as the holder of the duty, or with
/// what the own parent in the fleet's tree told, and the load of all that ask
/// here. Safe for many threads.
class ExchangeDesk
{
public:
    ExchangeDesk(ForwardState& state, Steward& steward, NewsIntake& news);

    /// Takes in what an instance tells of itself, and returns what it needs to
    /// know of the fleet. Throws Error(LeaseLost).
    ExchangeAnswer exchange(const ExchangeQuestion& question);
    /// Returns the load that the instances which ask here give to runners, and
    /// this one's own.
    std::map<std::string, RunnerLoad> group_load(TimePoint now);
    /// Takes in what the parent answered to a question of `asked`.
    void parent_told(const ExchangeAnswer& answer, TimePoint asked);
    /// Returns the age at `now` of what the holder told; large before that.
    Micros age(TimePoint now);

private:
    /// What the parent told last.
    struct Told {
        ExchangeAnswer answer;
        TimePoint at{}; ///< As of when the holder told it.
    };

    ExchangeAnswer handed_on(const ExchangeQuestion& question, TimePoint now);

    ForwardState& m_state;
    Steward& m_steward;
    NewsIntake& m_news;
    Guarded<LoadBoard> m_children;
    Guarded<Told> m_told;
};

} // namespace crosslink
