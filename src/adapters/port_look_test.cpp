// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <adapters/call_connection.h>
#include <adapters/port_look.h>

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("a look at a port tells an ended process from a living one")
{
    Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress("127.0.0.1", std::uint16_t{0}));
    const std::string address = socket.address().toString();
    const PortLook living = look_at_port(address, SingleFields::of_http());
    CHECK(living.fate == ProcessFate::Alive);
    CHECK(living.connection);
    socket.close();
    const PortLook ended = look_at_port(address, SingleFields::of_http());
    CHECK(ended.fate == ProcessFate::Ended);
    CHECK_FALSE(ended.connection);
}

} // namespace crosslink
