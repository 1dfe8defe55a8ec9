// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_desk.h"

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
constexpr auto longest_wait = std::chrono::seconds(20);

/// Runners that do not answer until let_go() is called.
class Runners
{
public:
    /// Returns once let_go() was called; for the answering runner, at once.
    void talk(const RunnerTask& task)
    {
        std::unique_lock lock(m_mutex);
        if (task.order.runner != answering)
            m_changed.wait(lock, [this] { return !m_held; });
        ++m_talks;
        m_changed.notify_all();
        if (m_fails)
            throw std::runtime_error("no talk to " + task.order.runner);
    }

    void let_go()
    {
        const std::lock_guard lock(m_mutex);
        m_held = false;
        m_changed.notify_all();
    }

    void fail()
    {
        const std::lock_guard lock(m_mutex);
        m_fails = true;
    }

    void wait_for(std::size_t talks)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_talks >= talks; });
    }

    /// As wait_for(), but returns false after a timeout.
    bool wait_while_held(std::size_t talks)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, longest_wait,
                                  [&] { return m_talks >= talks; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_held = true;
    bool m_fails = false;
    std::size_t m_talks = 0;
};

RunnerTask
task_for(const std::string& runner)
{
    return {RunnerTask::Kind::Give, {runner, 0, "127.0.0.1:1", "m", 2}};
}

/// Submits until the task is accepted, which is soon after let_go().
void
submit_until_taken(RunnerDesk& desk, const RunnerTask& task)
{
    while (!desk.submit(task))
        std::this_thread::yield();
}

} // namespace

TEST_CASE("a second task for a runner is refused until the first ends")
{
    Runners runners;
    RunnerDesk desk([&runners](const RunnerTask& task) { runners.talk(task); });
    CHECK(desk.submit(task_for("r0")));
    CHECK_FALSE(desk.submit(task_for("r0")));
    CHECK(desk.submit(task_for("r1")));
    SECTION("when the first task ends")
    {
        runners.let_go();
    }
    SECTION("when the first task fails")
    {
        runners.fail();
        runners.let_go();
    }
    runners.wait_for(2);
    submit_until_taken(desk, task_for("r0"));
    runners.wait_for(3);
}

TEST_CASE("silent runners of a rollout leave a thread for other runners")
{
    Runners runners;
    RunnerDesk desk([&runners](const RunnerTask& task) { runners.talk(task); });
    // Of 18 runners, seven load at once if little time is left for a rollout.
    for (int i = 0; i < 7; ++i)
        REQUIRE(desk.submit(task_for("r" + std::to_string(i))));
    REQUIRE(desk.submit(task_for(answering)));
    const bool talked = runners.wait_while_held(1);
    runners.let_go();
    CHECK(talked);
}

TEST_CASE("a task is refused while the queue is full, and accepted later")
{
    Runners runners;
    RunnerDesk desk([&runners](const RunnerTask& task) { runners.talk(task); });
    std::size_t taken = 0;
    while (desk.submit(task_for("r" + std::to_string(taken))))
        ++taken;
    const RunnerTask refused = task_for("r" + std::to_string(taken));
    runners.let_go();
    runners.wait_for(taken);
    submit_until_taken(desk, refused);
    runners.wait_for(taken + 1);
}

} // namespace crosslink
