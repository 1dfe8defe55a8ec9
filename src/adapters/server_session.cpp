// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "server_session.h"

#include "clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>

#include <algorithm>
#include <optional>

namespace crosslink
{

namespace
{

/// A connection that can be held to a time: POCO limits each read by itself,
/// so that a sender of single bytes would never be late.
class TimedSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
    explicit TimedSocketImpl(int descriptor) : StreamSocketImpl(descriptor) {}

    int receiveBytes(void* buffer, int length, int flags) override
    {
        if (m_end)
            wait_until(*m_end);
        return StreamSocketImpl::receiveBytes(buffer, length, flags);
    }

    void limit(std::optional<TimePoint> end) { m_end = end; }
    bool late() const { return m_late; }

private:
    void wait_until(TimePoint end)
    {
        const Micros left = std::max(end - monotonic_now(), Micros{0});
        m_late = left.count() == 0 || !poll(Poco::Timespan(left.count()),
                                            Poco::Net::Socket::SELECT_READ);
        if (m_late)
            throw Poco::TimeoutException("the head is late");
    }

    std::optional<TimePoint> m_end;
    bool m_late = false;
};

class ListenerImpl : public Poco::Net::ServerSocketImpl
{
public:
    Poco::Net::SocketImpl*
    acceptConnection(Poco::Net::SocketAddress& address) override
    {
        sockaddr_storage storage{};
        socklen_t size = sizeof storage;
        auto* const plain = reinterpret_cast<sockaddr*>(&storage);
        int accepted = -1;
        do {
            accepted = ::accept4(static_cast<int>(sockfd()), plain, &size,
                                 SOCK_CLOEXEC);
        } while (accepted < 0 && errno == EINTR);
        if (accepted < 0)
            error();
        address = Poco::Net::SocketAddress(plain, size);
        return new TimedSocketImpl(accepted);
    }
};

class Listener : public Poco::Net::ServerSocket
{
public:
    Listener() : ServerSocket(new ListenerImpl, true) {}
};

TimedSocketImpl&
timed(Poco::Net::StreamSocket& socket)
{
    return static_cast<TimedSocketImpl&>(*socket.impl());
}

} // namespace

Poco::Net::ServerSocket
make_server_socket()
{
    return Listener();
}

ServerSession::ServerSession(const Poco::Net::StreamSocket& socket,
                             const Poco::Net::HTTPServerParams::Ptr& parameters)
    : RawSession(socket, parameters)
{
}

int
ServerSession::descriptor()
{
    return static_cast<int>(socket().impl()->sockfd());
}

void
ServerSession::limit(TimePoint end)
{
    timed(socket()).limit(end);
}

void
ServerSession::end_limit()
{
    timed(socket()).limit(std::nullopt);
}

bool
ServerSession::late()
{
    return timed(socket()).late();
}

std::string
ServerSession::read_body(std::size_t most)
{
    try {
        return read_raw(most);
    } catch (const Poco::Exception&) {
        // It is told here; an answer may still be sent.
        clearException();
        throw;
    }
}

} // namespace crosslink
