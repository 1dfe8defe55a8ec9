// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "runner_desk.h"

#include <serve/duty.h>
#include <serve/forward/forward_state.h>
#include <serve/guarded.h>

#include <crosslink/ports/runner_orders.h>
#include <crosslink/weights/weights_plan.h>

#include <optional>
#include <string>
#include <vector>

namespace crosslink
{

/// Brings the runners to the weights that were named, while this instance has
/// the duty; idle else.
class WeightsDuty
{
public:
    /// `state` outlives it.
    explicit WeightsDuty(ForwardState& state);

    /// Begins with an empty plan: the duty is this instance's from now on.
    void begin();
    /// Looks at once for what is to be done.
    void wake() { m_duty.wake(); }
    /// Returns the runners that were told to load.
    std::vector<std::string> loading();
    /// Returns the weights that runners have loaded a moment ago.
    std::vector<RunnerWeights> loaded();
    /// See WeightsPlan::updated_fraction().
    double updated_fraction();

private:
    Micros round();
    void keep_known_services(RunnerTable& runners);
    void hand_in(const WeightsOrder& order);
    void talk(const RunnerTask& task);
    void give(const WeightsOrder& order);
    std::optional<RunnerReport> report_for(const WeightsOrder& order);
    OrderOutcome give_after(const RunnerReport& report,
                            const WeightsOrder& order);
    void ask(const WeightsOrder& order);

    ForwardState& m_state;
    Guarded<WeightsPlan> m_plan;
    RunnerDesk m_desk;
    Duty m_duty;
};

} // namespace crosslink
