// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/guarded.h>

#include <crosslink/base/bounded_ring.h>
#include <crosslink/weights/weights_plan.h>

#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace crosslink
{

/// What is to be said to a runner.
struct RunnerTask {
    enum class Kind {
        Give, ///< The order.
        Ask,  ///< Whether it has carried out the order.
    };
    Kind kind = Kind::Ask;
    WeightsOrder order;
};

/// Talks to several runners at a time: one that gives no answer holds up no
/// other. One after the other, each such runner took 0.4 s in which nothing
/// else was ordered, nine times in one rollout of 18 runners.
class RunnerDesk
{
public:
    using Talk = std::function<void(const RunnerTask&)>;

    /// `talk` is called by threads of the desk, and may block.
    explicit RunnerDesk(Talk talk);
    /// Ends after the talks that are under way.
    ~RunnerDesk();
    RunnerDesk(const RunnerDesk&) = delete;
    RunnerDesk& operator=(const RunnerDesk&) = delete;

    /// Has the task done soon. Returns false, and does not take it, where an
    /// earlier one for the same runner has not ended, or too many wait.
    bool submit(const RunnerTask& task);

private:
    void work();

    const Talk m_talk;
    BoundedRing<RunnerTask> m_ring;
    Guarded<std::set<std::string>> m_busy; ///< Runners with a task.
    std::vector<std::thread> m_threads;
};

} // namespace crosslink
