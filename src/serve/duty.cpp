// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "duty.h"

#include <spdlog/spdlog.h>

#include <exception>

namespace crosslink
{

namespace
{

constexpr Micros failure_delay = std::chrono::seconds(1);

} // namespace

Duty::Duty(std::string name, Round round, Begin begin)
    : m_name(std::move(name)), m_round(std::move(round)), m_begin(begin)
{
    if (m_begin == Begin::AtOnce)
        start();
}

Duty::~Duty()
{
    stop();
}

void
Duty::start()
{
    const std::lock_guard lock(m_mutex);
    start_locked();
}

void
Duty::start_locked()
{
    if (m_thread.joinable())
        return;
    m_stop = false;
    m_thread = std::thread([this] { run_rounds(); });
}

void
Duty::stop()
{
    if (!m_thread.joinable())
        return;
    request_stop();
    m_thread.join();
}

void
Duty::request_stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_changed.notify_all();
}

void
Duty::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
        if (m_begin == Begin::OnWake)
            start_locked();
    }
    m_changed.notify_all();
}

void
Duty::run_rounds()
{
    for (;;) {
        Micros wait = failure_delay;
        try {
            wait = m_round();
        } catch (const std::exception& failure) {
            spdlog::warn("duty={} failed: {}", m_name, failure.what());
        }
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_woken || m_stop; });
        if (m_stop)
            return;
        m_woken = false;
    }
}

} // namespace crosslink
