// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_task_pool.h"

#include <spdlog/spdlog.h>

#include <exception>

namespace crosslink
{

namespace
{

/// Number of runners that are contacted at once. A runner that does not answer
/// occupies a thread for 0.65 s (the timeouts of the connection and the
/// answer). A sixth of the runners load weights at once, and up to 0.4 of them
/// if little time is left for the rollout: seven of 18. One thread is left for
/// the other runners even if all seven are silent.
constexpr std::size_t thread_count = 8;
/// Capacity of the queue: the number of runners that load at once in a fleet of
/// the target size.
constexpr std::size_t queue_capacity = 512;

} // namespace

RunnerTaskPool::RunnerTaskPool(Handler handler)
    : m_handler(std::move(handler)), m_queue(queue_capacity)
{
    for (std::size_t i = 0; i < thread_count; ++i)
        m_threads.emplace_back([this] { run_tasks(); });
}

RunnerTaskPool::~RunnerTaskPool()
{
    m_queue.close();
    for (std::thread& thread : m_threads)
        thread.join();
}

bool
RunnerTaskPool::submit(const RunnerTask& task)
{
    const std::string& runner = task.order.runner;
    const bool is_free = m_busy.with(
        [&runner](auto& busy) { return busy.insert(runner).second; });
    if (!is_free)
        return false;
    const bool taken = m_queue.push(task);
    if (!taken)
        m_busy.with([&runner](auto& busy) { busy.erase(runner); });
    return taken;
}

void
RunnerTaskPool::run_tasks()
{
    while (const auto task = m_queue.pop()) {
        try {
            m_handler(*task);
        } catch (const std::exception& failure) {
            spdlog::warn("request to runner failed: {}", failure.what());
        }
        m_busy.with([&task](auto& busy) { busy.erase(task->order.runner); });
    }
}

} // namespace crosslink
