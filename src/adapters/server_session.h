// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>

namespace crosslink
{

/// Returns a socket for a server, whose connections a ServerSession can hold
/// to a time.
Poco::Net::ServerSocket make_server_socket();

/// The requests of one connection, and their bytes in order.
class ServerSession : public Poco::Net::HTTPServerSession
{
public:
    /// `socket` was accepted by one of make_server_socket().
    ServerSession(const Poco::Net::StreamSocket& socket,
                  const Poco::Net::HTTPServerParams::Ptr& parameters);

    /// True where bytes of the next request are here already.
    bool has_bytes() const { return buffered() > 0; }
    int descriptor();

    /// To be called before a head is read.
    void begin_head();
    /// Returns all bytes of the head that was read, as they came in.
    std::string end_head();

    /// All that is read until end_limit() must come in until `end`: else
    /// reading fails, and late() is true.
    void limit(TimePoint end);
    void end_limit();
    bool late();
    /// True where the latest read brought nothing: the other side closed the
    /// connection, or was late.
    bool broken();

    /// Returns up to `most` bytes of a body as they came in; none where the
    /// other side closed the connection. Throws Poco::Exception where they
    /// don't come.
    std::string read_raw(std::size_t most);
};

} // namespace crosslink
