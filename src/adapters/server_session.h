// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "raw_session.h"

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
class ServerSession : public RawSession<Poco::Net::HTTPServerSession>
{
public:
    /// `socket` was accepted by one of make_server_socket().
    ServerSession(const Poco::Net::StreamSocket& socket,
                  const Poco::Net::HTTPServerParams::Ptr& parameters);

    int descriptor();

    /// All that is read until end_limit() must come in until `end`: else
    /// reading fails, and late() is true.
    void limit(TimePoint end);
    void end_limit();
    bool late();

    /// Returns up to `most` bytes of a body; none where the other side closed
    /// the connection. Throws Poco::Exception where they don't come.
    std::string read_body(std::size_t most);
};

} // namespace crosslink
