// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_task_pool.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stdexcept>

namespace crosslink
{

namespace
{

/// Name of a runner that answers at once.
constexpr const char* answering = "answering";

/// Timeout of a test, far longer than a task takes.
constexpr auto test_timeout = std::chrono::seconds(20);

/// Runners that do not answer until release() is called.
class Runners
{
public:
    /// Returns once release() was called; for the answering runner, at once.
    void run(const RunnerTask& task)
    {
        std::unique_lock lock(m_mutex);
        if (task.order.runner != answering)
            m_changed.wait(lock, [this] { return !m_blocked; });
        ++m_ended;
        m_changed.notify_all();
        if (m_fails)
            throw std::runtime_error("no answer from " + task.order.runner);
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_blocked = false;
        m_changed.notify_all();
    }

    void fail()
    {
        const std::lock_guard lock(m_mutex);
        m_fails = true;
    }

    void wait_for(std::size_t tasks)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_ended >= tasks; });
    }

    /// As wait_for(), but returns false after a timeout.
    bool wait_with_timeout(std::size_t tasks)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, test_timeout,
                                  [&] { return m_ended >= tasks; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_blocked = true;
    bool m_fails = false;
    std::size_t m_ended = 0;
};

RunnerTask
task_for(const std::string& runner)
{
    return {RunnerTask::Kind::GiveOrder, {runner, 0, "127.0.0.1:1", "m", 2}};
}

/// Submits until the task is accepted, which is soon after release().
void
submit_until_taken(RunnerTaskPool& pool, const RunnerTask& task)
{
    while (!pool.submit(task))
        std::this_thread::yield();
}

} // namespace

TEST_CASE("a second task for a runner is refused until the first ends")
{
    Runners runners;
    RunnerTaskPool pool(
        [&runners](const RunnerTask& task) { runners.run(task); });
    CHECK(pool.submit(task_for("r0")));
    CHECK_FALSE(pool.submit(task_for("r0")));
    CHECK(pool.submit(task_for("r1")));
    SECTION("when the first task ends")
    {
        runners.release();
    }
    SECTION("when the first task fails")
    {
        runners.fail();
        runners.release();
    }
    runners.wait_for(2);
    submit_until_taken(pool, task_for("r0"));
    runners.wait_for(3);
}

TEST_CASE("silent runners of a rollout leave a thread for other runners")
{
    Runners runners;
    RunnerTaskPool pool(
        [&runners](const RunnerTask& task) { runners.run(task); });
    // Of 18 runners, seven load at once if little time is left for a rollout.
    for (int i = 0; i < 7; ++i)
        REQUIRE(pool.submit(task_for("r" + std::to_string(i))));
    REQUIRE(pool.submit(task_for(answering)));
    const bool ended = runners.wait_with_timeout(1);
    runners.release();
    CHECK(ended);
}

TEST_CASE("a task is refused while the queue is full, and accepted later")
{
    Runners runners;
    RunnerTaskPool pool(
        [&runners](const RunnerTask& task) { runners.run(task); });
    std::size_t taken = 0;
    while (pool.submit(task_for("r" + std::to_string(taken))))
        ++taken;
    const RunnerTask refused = task_for("r" + std::to_string(taken));
    runners.release();
    runners.wait_for(taken);
    submit_until_taken(pool, refused);
    runners.wait_for(taken + 1);
}

} // namespace crosslink
