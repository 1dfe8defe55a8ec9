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

/// A request to be sent to a runner.
struct RunnerTask {
    enum class Kind {
        GiveOrder,  ///< Give it the order.
        CheckOrder, ///< Ask whether it has carried out the order.
    };
    Kind kind = Kind::CheckOrder;
    WeightsOrder order;
};

/// Sends requests to several runners at a time, so that a runner that does not
/// answer delays no other.
class RunnerTaskPool
{
public:
    using Handler = std::function<void(const RunnerTask&)>;

    /// `handler` is called by threads of this object, and may block.
    explicit RunnerTaskPool(Handler handler);
    /// Waits for the tasks in progress.
    ~RunnerTaskPool();
    RunnerTaskPool(const RunnerTaskPool&) = delete;
    RunnerTaskPool& operator=(const RunnerTaskPool&) = delete;

    /// Queues a task. Returns false, and drops it, if an earlier task for the
    /// same runner has not ended, or the queue is full.
    bool submit(const RunnerTask& task);

private:
    void run_tasks();

    const Handler m_handler;
    BoundedRing<RunnerTask> m_queue;
    Guarded<std::set<std::string>> m_busy; ///< Runners with a task.
    std::vector<std::thread> m_threads;
};

} // namespace crosslink
