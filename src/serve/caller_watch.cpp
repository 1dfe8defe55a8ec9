// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "caller_watch.h"

#include <sys/socket.h>

#include <cerrno>

namespace crosslink
{

namespace
{

constexpr Micros period = std::chrono::milliseconds(50);

bool
is_closed(int socket)
{
    char byte = 0;
    const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0)
        return false;
    return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

CallerWatch::CallerWatch() : m_duty("caller-watch", [this] { return round(); })
{
}

std::uint64_t
CallerWatch::watch(int socket, std::function<void()> gone)
{
    const std::lock_guard lock(m_mutex);
    m_watched.emplace(m_next, Watched{socket, std::move(gone)});
    return m_next++;
}

void
CallerWatch::forget(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    m_watched.erase(number);
}

Micros
CallerWatch::round()
{
    const std::lock_guard lock(m_mutex);
    for (auto at = m_watched.begin(); at != m_watched.end();) {
        if (!is_closed(at->second.socket)) {
            ++at;
            continue;
        }
        at->second.gone();
        at = m_watched.erase(at);
    }
    return period;
}

} // namespace crosslink
