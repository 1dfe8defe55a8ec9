// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_connection.h"
#include "call_connections.h"
#include "testing/raw_peer.h"

#include <catch2/catch.hpp>

#include <memory>

namespace crosslink
{

namespace
{

constexpr Micros connect_time = std::chrono::seconds(5);
constexpr Micros idle_time = std::chrono::seconds(4);

TimePoint
at(std::int64_t seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

/// Returns a connection to `runner` that it has taken.
std::unique_ptr<CallConnection>
connect(RawPeer& runner)
{
    auto connection = std::make_unique<CallConnection>(
        runner.address(), connect_time, SingleFields::of_http());
    runner.accept();
    return connection;
}

} // namespace

TEST_CASE("an idle connection is used again until its time is over")
{
    CallConnections connections;
    RawPeer runner;
    const std::string address = runner.address();
    connections.put_back(address, connect(runner), idle_time, at(0));
    auto connection = connections.take(address, at(3));
    CHECK(connection);
    connections.put_back(address, std::move(connection), idle_time, at(3));
    CHECK_FALSE(connections.take(address, at(7)));
    CHECK(runner.is_left());
}

TEST_CASE("connections to a runner that gets no more calls are closed")
{
    CallConnections connections;
    RawPeer gone;
    RawPeer other;
    connections.put_back(gone.address(), connect(gone), idle_time, at(0));
    connections.put_back(other.address(), connect(other), idle_time, at(3));
    CHECK_FALSE(gone.is_left());
    CHECK(connections.take(other.address(), at(4)));
    CHECK(gone.is_left());
}

TEST_CASE("connections that calls never come down to are closed")
{
    CallConnections connections;
    RawPeer early;
    const std::string address = early.address();
    auto first = connect(early);
    RawPeer late;
    connections.put_back(address, std::move(first), idle_time, at(0));
    connections.put_back(address, connect(late), idle_time, at(3));
    auto taken = connections.take(address, at(5));
    CHECK(taken);
    CHECK(early.is_left());
    CHECK_FALSE(late.is_left());
}

TEST_CASE("connections that were used since one fell silent are kept")
{
    CallConnections connections;
    RawPeer silent;
    RawPeer well;
    RawPeer other;
    const std::string address = silent.address();
    connections.put_back(address, connect(silent), idle_time, at(0));
    connections.put_back(address, connect(well), idle_time, at(2));
    connections.put_back(other.address(), connect(other), idle_time, at(0));
    connections.drop_unproven(address, at(1));
    CHECK(silent.is_left());
    CHECK_FALSE(well.is_left());
    CHECK_FALSE(other.is_left());
    CHECK(connections.take(address, at(2)));
    connections.drop_unproven(address, at(3));
}

} // namespace crosslink
