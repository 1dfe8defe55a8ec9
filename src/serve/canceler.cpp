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

constexpr std::size_t queue_capacity = 1024;

} // namespace

Canceler::Canceler(InstanceState& state)
    : m_state(state), m_queue(queue_capacity),
      m_thread([this] { process_queue(); })
{
}

Canceler::~Canceler()
{
    m_queue.close();
    m_thread.join();
}

void
Canceler::process_queue()
{
    while (const auto request = m_queue.pop()) {
        try {
            m_state.clients.engine(request->engine)->cancel(request->run_id);
        } catch (const Error& failure) {
            spdlog::debug("cancel at {}: {}", request->engine, failure.what());
        }
    }
}

} // namespace crosslink
