// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "watched_socket.h"

#include "clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace crosslink
{

namespace
{

/// Longest wait for bytes of a head or a chunk that has begun to arrive.
constexpr Micros piece_time = std::chrono::seconds(5);

/// Returns the time until `end` as poll() takes it.
int
millis_until(TimePoint end)
{
    const Micros left = std::max(end - monotonic_now(), Micros{0});
    return static_cast<int>(
        std::chrono::ceil<std::chrono::milliseconds>(left).count());
}

} // namespace

void
WatchedSocket::watch(int caller_socket, TimePoint deadline)
{
    m_caller = caller_socket;
    m_deadline = deadline;
    m_interrupted.reset();
}

WatchedSocket::Wait
WatchedSocket::wait(TimePoint end)
{
    return wait_for(POLLIN, end);
}

WatchedSocket::Wait
WatchedSocket::wait_for(short events, TimePoint end)
{
    // Closed after a failure: there is nothing to wait for.
    if (!initialized())
        return Wait::Ready;
    for (;;) {
        const int left = millis_until(std::min(end, m_deadline));
        if (left == 0)
            return Wait::TimedOut;
        // A descriptor of -1 is passed over.
        std::array<pollfd, 3> polled{{{static_cast<int>(sockfd()), events, 0},
                                      {m_caller, POLLIN, 0},
                                      {m_rival, POLLIN, 0}}};
        const int count = ::poll(polled.data(), polled.size(), left);
        if (count < 0 && errno != EINTR)
            throw Poco::Net::NetException("poll failed");
        if (count <= 0)
            continue;
        // Before the other side: one that always has bytes must not hide it.
        if (polled[1].revents != 0 && caller_closed())
            return Wait::CallerGone;
        if (polled[0].revents != 0)
            return Wait::Ready;
        if (polled[2].revents != 0)
            return Wait::RivalReady;
    }
}

/// Called where the caller's socket is readable.
bool
WatchedSocket::caller_closed()
{
    char byte = 0;
    const auto count = ::recv(m_caller, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
        return true;
    // The caller sent its next request early; it is still there, and its end
    // can't be seen before those bytes are read.
    if (count > 0)
        m_caller = -1;
    return false;
}

void
WatchedSocket::await(short events)
{
    const Wait ended = wait_for(events, monotonic_now() + piece_time);
    if (ended == Wait::Ready)
        return;
    if (ended != Wait::TimedOut || monotonic_now() >= m_deadline)
        m_interrupted = ended;
    throw Poco::TimeoutException(
        ended == Wait::CallerGone   ? "the caller has gone"
        : ended == Wait::RivalReady ? "another answer has begun"
                                    : "the other side is silent");
}

int
WatchedSocket::receiveBytes(void* buffer, int length, int flags)
{
    int count = -1;
    // It doesn't block: -1 stands for bytes that were not there after all.
    while (count < 0) {
        await(POLLIN);
        count = StreamSocketImpl::receiveBytes(buffer, length, flags);
    }
    m_unused_bytes += static_cast<std::size_t>(count);
    if (m_unused_bytes > max_unused_bytes)
        throw Poco::Net::MessageException("bytes that are no answer");
    return count;
}

int
WatchedSocket::sendBytes(const void* buffer, int length, int flags)
{
    const char* bytes = static_cast<const char*>(buffer);
    int sent = 0;
    while (sent < length) {
        await(POLLOUT);
        sent +=
            std::max(0, StreamSocketImpl::sendBytes(bytes + sent, length - sent,
                                                    flags | MSG_NOSIGNAL));
    }
    return sent;
}

} // namespace crosslink
