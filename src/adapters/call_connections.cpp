// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_connections.h"

#include "call_connection.h"

#include <algorithm>
#include <iterator>

namespace crosslink
{

namespace
{

/// Idle connections to one runner; a runner accepts a few hundred of all.
constexpr std::size_t most_idle = 24;
/// Between two looks at all idle connections. They are kept for some seconds,
/// and looking at the few hundred that there may be takes microseconds.
constexpr Micros drop_pause = std::chrono::seconds(1);
/// An idle connection is closed this long before the other side would close it.
constexpr Micros idle_margin = std::chrono::milliseconds(1200);

} // namespace

CallConnections::CallConnections() = default;
CallConnections::~CallConnections() = default;

std::unique_ptr<CallConnection>
CallConnections::take(const std::string& address, TimePoint now,
                      TimePoint proven_since)
{
    Idle dropped; // Closed after the lock.
    const std::lock_guard lock(m_mutex);
    drop_overdue(dropped, now);
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    Idle& idle = found->second;
    std::unique_ptr<CallConnection> taken;
    while (!taken && !idle.empty()) {
        IdleConnection last = std::move(idle.back());
        idle.pop_back();
        if (now < last.usable_until && last.put_back_at >= proven_since &&
            last.connection->quiet())
            taken = std::move(last.connection);
        else
            dropped.push_back(std::move(last));
    }
    if (idle.empty())
        m_idle.erase(found);
    return taken;
}

void
CallConnections::put_back(const std::string& address,
                          std::unique_ptr<CallConnection> connection,
                          Micros idle_time, TimePoint now)
{
    Idle dropped; // Closed after the lock.
    const std::lock_guard lock(m_mutex);
    drop_overdue(dropped, now);
    Idle& idle = m_idle[address];
    if (idle.size() < most_idle)
        idle.push_back({std::move(connection), now, now + idle_time});
}

void
CallConnections::put_back_told(const std::string& address,
                               std::unique_ptr<CallConnection> connection,
                               std::optional<Micros> keep_alive, TimePoint now)
{
    if (!keep_alive)
        return;
    const Micros idle =
        keep_alive->count() > 0 ? *keep_alive - idle_margin : idle_untold;
    if (idle.count() > 0)
        put_back(address, std::move(connection), idle, now);
}

void
CallConnections::drop_unproven(const std::string& address, TimePoint proven)
{
    Idle dropped; // Closed after the lock.
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return;
    Idle kept;
    for (IdleConnection& one : found->second)
        (one.put_back_at < proven ? dropped : kept).push_back(std::move(one));
    if (kept.empty())
        m_idle.erase(found);
    else
        found->second = std::move(kept);
}

/// Moves the connections whose time is over to `dropped`. The last ones of a
/// runner are taken first, so that a take never meets the others, nor those of
/// a runner that is gone.
void
CallConnections::drop_overdue(Idle& dropped, TimePoint now)
{
    if (now < m_next_drop)
        return;
    m_next_drop = now + drop_pause;
    for (auto& [address, idle] : m_idle) {
        const auto overdue = std::stable_partition(
            idle.begin(), idle.end(), [now](const IdleConnection& one) {
                return now < one.usable_until;
            });
        std::move(overdue, idle.end(), std::back_inserter(dropped));
        idle.erase(overdue, idle.end());
    }
    std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
}

} // namespace crosslink
