// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "duty.h"

#include <spdlog/spdlog.h>

#include <exception>

namespace crosslink
{

namespace
{

constexpr Micros after_failure = std::chrono::seconds(1);

} // namespace

Duty::Duty(std::string name, Round round)
    : m_name(std::move(name)), m_round(std::move(round)),
      m_thread([this] { work(); })
{
}

Duty::~Duty()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void
Duty::nudge()
{
    {
        const std::lock_guard lock(m_mutex);
        m_nudged = true;
    }
    m_changed.notify_all();
}

void
Duty::work()
{
    for (;;) {
        Micros wait = after_failure;
        try {
            wait = m_round();
        } catch (const std::exception& failure) {
            spdlog::warn("duty={} failed: {}", m_name, failure.what());
        }
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_nudged || m_stop; });
        if (m_stop)
            return;
        m_nudged = false;
    }
}

} // namespace crosslink
