// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_connections.h"

#include "call_connection.h"
#include "clock.h"

namespace crosslink
{

namespace
{

/// Idle connections to one runner; a runner accepts a few hundred of all.
constexpr std::size_t most_idle = 24;

} // namespace

CallConnections::CallConnections() = default;
CallConnections::~CallConnections() = default;

std::unique_ptr<CallConnection>
CallConnections::take(const std::string& address)
{
    const TimePoint now = monotonic_now();
    Idle dropped; // Closed after the lock.
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    Idle& idle = found->second;
    while (!idle.empty()) {
        IdleConnection last = std::move(idle.back());
        idle.pop_back();
        if (now < last.usable_until && last.connection->quiet())
            return std::move(last.connection);
        dropped.push_back(std::move(last));
    }
    m_idle.erase(found);
    return nullptr;
}

void
CallConnections::put_back(const std::string& address,
                          std::unique_ptr<CallConnection> connection,
                          Micros idle_time)
{
    const TimePoint usable_until = monotonic_now() + idle_time;
    const std::lock_guard lock(m_mutex);
    Idle& idle = m_idle[address];
    if (idle.size() < most_idle)
        idle.push_back({std::move(connection), usable_until});
}

} // namespace crosslink
