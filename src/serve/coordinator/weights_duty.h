// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "runner_task_pool.h"

#include <serve/duty.h>
#include <serve/forward/forward_state.h>
#include <serve/guarded.h>

#include <crosslink/base/time.h>
#include <crosslink/ports/runner_orders.h>
#include <crosslink/weights/weights_plan.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crosslink
{

/// Orders the runners to load the weights that were named, while this instance
/// holds the coordinator duty; idle otherwise.
class WeightsDuty
{
public:
    /// `state` must outlive this object.
    explicit WeightsDuty(ForwardState& state);

    /// Begins with an empty plan when this instance takes the duty.
    void begin();
    /// Starts the threads, and ends them; see Duty.
    void start();
    void stop();
    /// Starts the next round at once.
    void wake() { m_duty.wake(); }
    /// Returns the runners that were ordered to load weights and have not
    /// finished.
    std::vector<std::string> loading();
    /// Returns the weights that runners finished loading a moment ago.
    std::vector<RunnerWeights> loaded();
    /// See WeightsPlan::outdated().
    std::set<std::string, std::less<>> outdated();
    /// Returns the runners whose last request for a report got none, and since
    /// when that is so.
    std::map<std::string, TimePoint, std::less<>> silent_runners();
    /// See WeightsPlan::updated_fraction().
    double updated_fraction();

private:
    Micros round();
    RunnerTable known_runners();
    void keep_known_services(RunnerTable& runners);
    void submit_order(const WeightsOrder& order);
    void run_task(const RunnerTask& task);
    void give_order(const WeightsOrder& order);
    std::optional<RunnerReport> request_report(const WeightsOrder& order);
    OrderOutcome give_if_needed(const RunnerReport& report,
                                const WeightsOrder& order);
    void note_reported(const WeightsOrder& order, bool reported);
    void check_order(const WeightsOrder& order);

    ForwardState& m_state;
    Guarded<WeightsPlan> m_plan;
    Guarded<std::map<std::string, TimePoint, std::less<>>> m_silent;
    std::unique_ptr<RunnerTaskPool> m_tasks; ///< Null while stopped.
    Duty m_duty;
};

} // namespace crosslink
