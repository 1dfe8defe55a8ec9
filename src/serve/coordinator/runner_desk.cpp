// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_desk.h"

#include <spdlog/spdlog.h>

#include <exception>

namespace crosslink
{

namespace
{

/// Runners that are talked to at once. A runner that says nothing takes a
/// thread for 0.65 s (the time-outs of a connection and an answer). A sixth of
/// the runners load at once, and up to 0.4 of them where the bound is near:
/// seven of 18, and a thread is left for the others where all seven are silent.
constexpr std::size_t thread_count = 8;
/// Tasks that wait: runners that load at once in a fleet of the target size.
constexpr std::size_t most_waiting = 512;

} // namespace

RunnerDesk::RunnerDesk(Talk talk)
    : m_talk(std::move(talk)), m_ring(most_waiting)
{
    for (std::size_t i = 0; i < thread_count; ++i)
        m_threads.emplace_back([this] { work(); });
}

RunnerDesk::~RunnerDesk()
{
    m_ring.close();
    for (std::thread& thread : m_threads)
        thread.join();
}

bool
RunnerDesk::submit(const RunnerTask& task)
{
    const std::string& runner = task.order.runner;
    const bool is_free = m_busy.with(
        [&runner](auto& busy) { return busy.insert(runner).second; });
    if (!is_free)
        return false;
    const bool taken = m_ring.push(task);
    if (!taken)
        m_busy.with([&runner](auto& busy) { busy.erase(runner); });
    return taken;
}

void
RunnerDesk::work()
{
    while (const auto task = m_ring.pop()) {
        try {
            m_talk(*task);
        } catch (const std::exception& failure) {
            spdlog::warn("runner desk failed: {}", failure.what());
        }
        m_busy.with([&task](auto& busy) { busy.erase(task->order.runner); });
    }
}

} // namespace crosslink
