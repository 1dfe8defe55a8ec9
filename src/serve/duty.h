// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace crosslink
{

/// A thread that calls a function in rounds: after the time that the last round
/// returned, or at once after wake().
class Duty
{
public:
    /// Does one round and returns how long to wait until the next one.
    using Round = std::function<Micros()>;
    /// Whether the thread runs from the beginning, from start() on, or from the
    /// first wake() on.
    enum class Begin { AtOnce, OnStart, OnWake };

    /// Starts the thread. An exception from `round` is logged under `name`, and
    /// the next round begins a second later.
    Duty(std::string name, Round round, Begin begin = Begin::AtOnce);
    /// As stop().
    ~Duty();
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    /// Starts the thread unless it runs. start() and stop() are for one thread
    /// only, as is request_stop().
    void start();
    /// Waits for the current round and ends the thread, if it runs.
    void stop();
    /// Lets the current round be the last one, without a wait for its end.
    void request_stop();

    /// Starts the next round at once, or right after the current one.
    void wake();

private:
    void run_rounds();
    void start_locked();

    const std::string m_name;
    const Round m_round;
    const Begin m_begin;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stop = false;
    std::thread m_thread;
};

} // namespace crosslink
