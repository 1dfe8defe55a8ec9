// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// A peer on loopback that says exactly what a test tells it, and reads
/// nothing by itself.
class RawPeer
{
public:
    RawPeer() : m_listener(Poco::Net::SocketAddress("127.0.0.1", 0)) {}

    std::string address() const { return m_listener.address().toString(); }
    /// Takes the next connection; it is the one to talk on from then on.
    void accept() { m_connection = m_listener.acceptConnection(); }
    /// Sends bytes on its connection.
    void say(std::string_view bytes)
    {
        if (!m_connection)
            accept();
        m_connection->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    /// Sends bytes as far as the other side takes them. Returns false once it
    /// has closed its connection.
    bool try_say(std::string_view bytes)
    {
        m_connection->setSendTimeout(Poco::Timespan(0, 20'000));
        try {
            say(bytes);
        } catch (const Poco::TimeoutException&) {
            return true;
        } catch (const Poco::Exception&) {
            return false;
        }
        return true;
    }
    /// Ends what it says, as a runner that closes its connection does.
    void end() { m_connection->shutdownSend(); }
    /// Ends its connection with a reset, once the other side has it all.
    void reset()
    {
        m_connection->setLinger(true, 0);
        m_connection->close();
    }
    /// True where the other side has closed its connection.
    bool is_left()
    {
        char byte = 0;
        return m_connection->poll(Poco::Timespan(0),
                                  Poco::Net::Socket::SELECT_READ) &&
               m_connection->receiveBytes(&byte, 1) == 0;
    }
    /// True where bytes, or the end, came in on its connection.
    bool has_heard()
    {
        return m_connection->poll(Poco::Timespan(0),
                                  Poco::Net::Socket::SELECT_READ);
    }
    /// True where a connection waits to be taken.
    bool is_asked()
    {
        return m_listener.poll(Poco::Timespan(0),
                               Poco::Net::Socket::SELECT_READ);
    }

private:
    Poco::Net::ServerSocket m_listener;
    std::optional<Poco::Net::StreamSocket> m_connection;
};

} // namespace crosslink
