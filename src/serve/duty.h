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

/// A thread with one duty that is done again and again: after a period, or at
/// once after wake().
class Duty
{
public:
    /// Does its round and returns how long to wait until the next.
    using Round = std::function<Micros()>;

    /// Starts the thread. What `round` throws is logged under `name`.
    Duty(std::string name, Round round);
    /// Stops after the round that runs.
    ~Duty();
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    /// Lets the next round begin at once.
    void wake();

private:
    void run_rounds();

    const std::string m_name;
    const Round m_round;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stop = false;
    std::thread m_thread;
};

} // namespace crosslink
