// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "canceler.h"

#include <crosslink/base/error.h>
#include <crosslink/ports/engine.h>

#include <spdlog/spdlog.h>

namespace crosslink
{

namespace
{

constexpr std::size_t ring_capacity = 1024;

} // namespace

Canceler::Canceler(InstanceState& state)
    : m_state(state), m_ring(ring_capacity), m_thread([this] { work(); })
{
}

Canceler::~Canceler()
{
    m_ring.close();
    m_thread.join();
}

void
Canceler::work()
{
    while (const auto order = m_ring.pop()) {
        try {
            m_state.clients.engine(order->engine)->cancel(order->run_id);
        } catch (const Error& failure) {
            spdlog::debug("cancel at {}: {}", order->engine, failure.what());
        }
    }
}

} // namespace crosslink
