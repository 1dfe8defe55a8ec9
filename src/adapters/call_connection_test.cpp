// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "call_connection.h"
#include "clock.h"
#include "testing/raw_peer.h"

#include <crosslink/ports/call_wire.h>

#include <Poco/Exception.h>

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

using Wait = CallConnection::Wait;

constexpr Micros connect_time = std::chrono::seconds(5);
/// Longer than a case may take, so that only what it tests ends a wait.
constexpr Micros far_off = std::chrono::hours(1);
constexpr Micros soon = std::chrono::milliseconds(20);

/// A caller whose connection can be closed.
class Caller
{
public:
    Caller()
    {
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, m_ends.data()) == 0);
    }
    ~Caller()
    {
        ::close(m_ends[0]);
        leave();
    }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    int socket() const { return m_ends[0]; }
    void leave()
    {
        if (m_ends[1] >= 0)
            ::close(m_ends[1]);
        m_ends[1] = -1;
    }

private:
    std::array<int, 2> m_ends{-1, -1};
};

OutgoingCall
get_call()
{
    OutgoingCall call;
    call.method = "GET";
    call.target = "/";
    return call;
}

/// A connection to a peer that has got a call.
struct SentCall {
    RawPeer runner;
    CallConnection connection{runner.address(), connect_time,
                              SingleFields::of_http()};

    SentCall()
    {
        connection.watch(-1, monotonic_now() + far_off);
        connection.send(get_call(), {});
    }
};

/// What a peer sends that never ends its answer: `begin`, then `rest` again and
/// again.
struct EndlessAnswer {
    std::string begin;
    std::string rest;
};

/// Sends an answer without end until the other side closes its connection, or
/// this object ends.
class EndlessSpeech
{
public:
    EndlessSpeech(RawPeer& peer, EndlessAnswer answer)
        : m_peer(peer), m_answer(std::move(answer)),
          m_thread([this] { speak(); })
    {
    }
    ~EndlessSpeech()
    {
        m_stopped = true;
        m_thread.join();
    }
    EndlessSpeech(const EndlessSpeech&) = delete;
    EndlessSpeech& operator=(const EndlessSpeech&) = delete;

private:
    void speak()
    {
        constexpr std::size_t piece_bytes = 4096;
        std::string piece;
        while (piece.size() < piece_bytes)
            piece += m_answer.rest;
        m_peer.say(m_answer.begin);
        while (!m_stopped && m_peer.try_say(piece)) {
        }
    }

    RawPeer& m_peer;
    EndlessAnswer m_answer;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

/// Returns whether the answer on `connection` comes whole.
bool
reads_whole_answer(CallConnection& connection)
{
    try {
        connection.receive_head();
        while (!connection.read_some().empty()) {
        }
        return connection.whole();
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace

TEST_CASE("a head that trickles in is waited for until the deadline")
{
    RawPeer runner;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    runner.say("HTTP/1.1 200 OK\r\nX-Slow: a");
    connection.watch(-1, monotonic_now() + soon);
    CHECK_THROWS_AS(connection.receive_head(), Poco::Exception);
    CHECK(connection.interrupted() == Wait::TimedOut);
}

TEST_CASE("a head that trickles in is waited for until the caller leaves")
{
    RawPeer runner;
    Caller caller;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    runner.say("HTTP/1.1 200 OK\r\nX-Slow: a");
    connection.watch(caller.socket(), monotonic_now() + far_off);
    caller.leave();
    CHECK_THROWS_AS(connection.receive_head(), Poco::Exception);
    CHECK(connection.interrupted() == Wait::CallerGone);
}

TEST_CASE("a head that is cut off is no head")
{
    for (const std::string head :
         {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-Signed: ab",
          "HTTP/1.1 200 OK\r\nX-Signed: ab\r\n"}) {
        RawPeer runner;
        CallConnection connection(runner.address(), connect_time,
                                  SingleFields::of_http());
        connection.watch(-1, monotonic_now() + far_off);
        connection.send(get_call(), {});
        runner.say(head);
        runner.end();
        CHECK_THROWS_AS(connection.receive_head(), Poco::Exception);
        CHECK_FALSE(connection.interrupted());
    }
}

TEST_CASE("a body that only its connection ends is not whole without a byte")
{
    SentCall call;
    call.runner.say("HTTP/1.1 200 OK\r\nX-Signed: ab\r\n\r\n");
    call.runner.end();
    CHECK(call.connection.receive_head().status == 200);
    CHECK(call.connection.read_some().empty());
    CHECK_FALSE(call.connection.whole());
}

TEST_CASE("an answer that has no body is whole without a byte")
{
    SentCall call;
    call.runner.say("HTTP/1.1 204 No Content\r\n\r\n");
    call.runner.end();
    CHECK(call.connection.receive_head().status == 204);
    CHECK(call.connection.read_some().empty());
    CHECK(call.connection.whole());
}

TEST_CASE("an answer without a body ends with its head")
{
    for (const std::string head :
         {"HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        SentCall call;
        call.runner.say(head);
        call.connection.receive_head();
        // The connection stays open.
        CHECK(call.connection.ended());
        CHECK(call.connection.read_some().empty());
        CHECK(call.connection.whole());
    }
    RawPeer runner;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    connection.watch(-1, monotonic_now() + far_off);
    OutgoingCall head = get_call();
    head.method = "HEAD";
    connection.send(head, {});
    runner.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    connection.receive_head();
    CHECK(connection.ended());
    CHECK(connection.whole());
}

TEST_CASE("a chunked answer that is cut at any byte is not whole")
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body =
        "a\r\ncaldo;40\r\n\r\n3\r\n0\r\n\r\n0\r\nX: y\r\n\r\n";
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
        SentCall call;
        call.runner.say(head + body.substr(0, cut));
        call.runner.end();
        CHECK(reads_whole_answer(call.connection) == (cut == body.size()));
    }
}

TEST_CASE("a connection carries the next answer after a chunked one")
{
    SentCall call;
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    call.runner.say(head + "1\r\na\r\n0\r\n\r\n" + head +
                    "1\r\nb\r\n0\r\n\r\n");
    CHECK(reads_whole_answer(call.connection));
    CHECK_FALSE(call.connection.quiet());
    CHECK(call.connection.receive_head().status == 200);
    CHECK(call.connection.read_some() == "b");
    CHECK(call.connection.read_some().empty());
    CHECK(call.connection.whole());
    CHECK(call.connection.quiet());
}

// A read that took the end of a chunk waited there for the next chunk, for 5 s:
// a stream whose runner paused was cut, or sent to a second runner.
TEST_CASE("the end of a chunk that comes apart is no wait for the next one")
{
    const std::string large(6000, 'x');
    for (const std::string& data : {std::string("a"), large}) {
        SentCall call;
        const std::string size = data.size() == 1 ? "1" : "1770";
        call.runner.say(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        call.runner.say(size);
        call.runner.say("\r\n");
        call.runner.say(data);
        call.connection.receive_head();
        std::string read;
        while (read.size() < data.size())
            read += call.connection.read_next();
        CHECK(read == data);
        call.runner.say("\r\n");
        CHECK(call.connection.read_next().empty());
        CHECK_FALSE(call.connection.is_over());
        call.runner.say("1\r\nb\r\n0\r\n\r\n");
        CHECK(call.connection.read_some() == "b");
        CHECK(call.connection.read_some().empty());
        CHECK(call.connection.whole());
    }
}

TEST_CASE("bytes without end that are no answer end a call before its deadline")
{
    const std::vector<EndlessAnswer> answers{
        {"", "\r\n"},
        {"HTTP/1.1 200 OK\r\n", "X-Filler: abcdefghijklmnopqrstuvwxyz\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "abcd"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "abcd"},
    };
    for (const EndlessAnswer& answer : answers) {
        SentCall call;
        const EndlessSpeech speech(call.runner, answer);
        CHECK_FALSE(reads_whole_answer(call.connection));
        CHECK_FALSE(call.connection.interrupted());
    }
}

TEST_CASE("an answer to an earlier call without end is not skipped for ever")
{
    SentCall call;
    const EndlessSpeech speech(call.runner,
                               {"HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"});
    CHECK(call.connection.receive_head().status == 200);
    CHECK_FALSE(call.connection.skip_body());
}

TEST_CASE("a body is read until the caller leaves, however many bytes wait")
{
    RawPeer runner;
    Caller caller;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    connection.watch(caller.socket(), monotonic_now() + far_off);
    connection.send(get_call(), {});
    runner.say("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
               std::string(100'000, 'a'));
    CHECK(connection.receive_head().status == 200);
    caller.leave();
    const auto read_all = [&connection] {
        while (!connection.read_some().empty()) {
        }
    };
    CHECK_THROWS_AS(read_all(), Poco::Exception);
    CHECK(connection.interrupted() == Wait::CallerGone);
}

TEST_CASE(
    "a body that its runner does not read is sent until the caller leaves")
{
    RawPeer runner;
    Caller caller;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    connection.watch(caller.socket(), monotonic_now() + far_off);
    caller.leave();
    // More than the buffers of two sockets take.
    const std::string body(32U << 20U, 'a');
    CHECK_THROWS_AS(connection.send(get_call(), body), Poco::Exception);
    CHECK(connection.interrupted() == Wait::CallerGone);
}

TEST_CASE("a connection carries one call after the other")
{
    RawPeer runner;
    Caller caller;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    for (int i = 0; i < 3; ++i) {
        connection.watch(caller.socket(), monotonic_now() + far_off);
        connection.send(get_call(), {});
        CHECK(connection.wait(soon) == Wait::TimedOut);
        runner.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
        CHECK(connection.wait(far_off) == Wait::Ready);
        CHECK(connection.receive_head().status == 200);
        CHECK(connection.read_some() == "ab");
        CHECK(connection.ended());
        CHECK(connection.whole());
        CHECK(connection.quiet());
    }
}

TEST_CASE("a wait ends for bytes of a rival, and later ones do not")
{
    RawPeer first;
    RawPeer second;
    Caller caller;
    CallConnection connection(first.address(), connect_time,
                              SingleFields::of_http());
    CallConnection rival(second.address(), connect_time,
                         SingleFields::of_http());
    connection.watch(caller.socket(), monotonic_now() + far_off);
    connection.send(get_call(), {});
    CHECK(connection.wait(soon, &rival) == Wait::TimedOut);
    second.say("HTTP/1.1 200 OK\r\n");
    CHECK(connection.wait(far_off, &rival) == Wait::RivalReady);
    CHECK(connection.wait(soon) == Wait::TimedOut);
    caller.leave();
    CHECK(connection.wait(far_off, &rival) == Wait::CallerGone);
}

TEST_CASE("a body is no longer sent once a rival has bytes")
{
    RawPeer first;
    RawPeer second;
    Caller caller;
    CallConnection connection(first.address(), connect_time,
                              SingleFields::of_http());
    CallConnection rival(second.address(), connect_time,
                         SingleFields::of_http());
    connection.watch(caller.socket(), monotonic_now() + far_off);
    second.say("H");
    // More than the buffers of two sockets take.
    const std::string body(32U << 20U, 'a');
    CHECK_THROWS_AS(connection.send(get_call(), body, &rival), Poco::Exception);
    CHECK(connection.interrupted() == Wait::RivalReady);
}

TEST_CASE("a head has arrived once it is complete or can't become so")
{
    RawPeer runner;
    Caller caller;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    connection.watch(caller.socket(), monotonic_now() + far_off);
    CHECK_FALSE(connection.head_arrived());
    runner.say("HTTP/1.1 200 OK\r\n");
    REQUIRE(connection.wait(far_off) == Wait::Ready);
    CHECK_FALSE(connection.head_arrived());
    SECTION("complete")
    {
        runner.say("Content-Length: 0\r\n\r\n");
    }
    SECTION("broken off")
    {
        runner.end();
    }
    const TimePoint last = monotonic_now() + connect_time;
    while (!connection.head_arrived() && monotonic_now() < last)
        std::this_thread::yield();
    CHECK(connection.head_arrived());
}

TEST_CASE("fields of an answer come in as they were sent")
{
    const std::string note = "=?UTF-8?Q?a=0D=0A=0D=0Ab?=";
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                               "X-Nota: " +
                               note + "\r\n\r\nb";
    SentCall call;
    call.runner.say("HTTP/1.1 100 Continue\r\nX-Nota: a\r\n\r\n" + answer +
                    answer);
    // The second one is in the session's buffer with the first.
    for (int i = 0; i < 2; ++i) {
        const RawHead head = call.connection.receive_head();
        REQUIRE(head.headers.size() == 2);
        CHECK(head.headers.back().value == note);
        CHECK(call.connection.read_some() == "b");
        if (i == 0)
            call.connection.send(get_call(), {});
    }
}

TEST_CASE("a malformed head of an answer is none")
{
    using namespace std::string_literals;
    for (const std::string& lines :
         {"X-Nota : a\r\n"s, "X-Nota\r\n"s, ": a\r\n"s, "X-Nota: a\r\n b\r\n"s,
          "X-Nota: a\0b\r\n"s, "X-Nota: a\rb\r\n"s, "X-Nota: a\n"s, "a\n"s,
          "X-Nota: a\x01\r\n"s, "Content-Length: =?UTF-8?Q?0?=\r\n"s,
          "Transfer-Encoding: =?UTF-8?Q?chunked?=\r\n"s}) {
        SentCall call;
        call.runner.say("HTTP/1.1 200 OK\r\n" + lines + "\r\n");
        CHECK_THROWS_AS(call.connection.receive_head(), Poco::Exception);
    }
}

// Regression: an answer with two ids or two signatures counted as whole.
TEST_CASE("an answer that may be read in two ways is none")
{
    SingleFields single_fields;
    const std::array<std::string_view, 2> names{"X-Id", "X-Signed"};
    single_fields.add(names);
    for (const std::string lines :
         {"X-Id: a\r\nX-Id: a\r\n", "X-Signed: a\r\nA: b\r\nx-signed: b\r\n",
          "Content-Type: a\r\nContent-Type: b\r\n"}) {
        RawPeer runner;
        CallConnection connection(runner.address(), connect_time,
                                  single_fields);
        connection.watch(-1, monotonic_now() + far_off);
        connection.send(get_call(), {});
        runner.say("HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 0\r\n\r\n");
        CHECK_THROWS_AS(connection.receive_head(), Poco::Exception);
    }
}

TEST_CASE("an answer of another protocol is none")
{
    for (const std::string line :
         {"HTTP/2.0 200 OK", "FOO/1.1 200 OK", "HTTP/1.1 101 Switching",
          "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "200 OK"}) {
        SentCall call;
        call.runner.say(line + "\r\nContent-Length: 0\r\n\r\n");
        CHECK_THROWS_AS(call.connection.receive_head(), Poco::Exception);
    }
}

// Regression: a head with a line of 4,092 bytes was a broken answer.
TEST_CASE("a head of an answer of any length comes in whole")
{
    constexpr std::size_t most = 4200;
    for (std::size_t length = 4000; length < most; ++length) {
        SentCall call;
        const std::string note(length, 'x');
        call.runner.say("HTTP/1.1 200 OK\r\nX-Nota: " + note +
                        "\r\nContent-Length: 1\r\n\r\na");
        const RawHead head = call.connection.receive_head();
        REQUIRE(head.headers.size() == 2);
        REQUIRE(head.headers.front().value == note);
        REQUIRE(call.connection.read_some() == "a");
        REQUIRE(call.connection.whole());
    }
}

// Regression: where char is signed, the byte 255 was the connection's end.
TEST_CASE("an answer comes in whole byte by byte, and is none if it is cut")
{
    const std::string interim = "HTTP/1.1 103 Early\r\nX-Nota: b\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nX-Nota: \xff\r\n";
    for (const std::string rest :
         {"Content-Length: 1\r\n\r\n\xff",
          "Transfer-Encoding: chunked\r\n\r\n1\r\n\xff\r\n0\r\n\r\n"}) {
        std::string answer = interim;
        answer.append(head).append(rest);
        for (std::size_t cut = 1; cut <= answer.size(); ++cut) {
            SentCall call;
            for (const char byte : answer.substr(0, cut))
                call.runner.say({&byte, 1});
            call.runner.end();
            REQUIRE(reads_whole_answer(call.connection) ==
                    (cut == answer.size()));
        }
    }
}

TEST_CASE("the head of an interim answer is not the one that is waited for")
{
    RawPeer runner;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    connection.watch(-1, monotonic_now() + far_off);
    runner.say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n");
    REQUIRE(connection.wait(far_off) == Wait::Ready);
    CHECK_FALSE(connection.head_arrived());
    runner.say("\r\n");
    const TimePoint last = monotonic_now() + connect_time;
    while (!connection.head_arrived() && monotonic_now() < last)
        std::this_thread::yield();
    CHECK(connection.head_arrived());
}

TEST_CASE("a call that would be read as something else is not sent")
{
    using namespace std::string_literals;
    RawPeer runner;
    CallConnection connection(runner.address(), connect_time,
                              SingleFields::of_http());
    connection.watch(-1, monotonic_now() + far_off);
    for (const HeaderField& field :
         {HeaderField{"X-Nota", "a\r\nb: c"}, HeaderField{"X-Nota", "a\0b"s},
          HeaderField{"X-Nota", "a\nb"}, HeaderField{"X-Nota", "a\x1f"},
          HeaderField{"X Nota", "a"}, HeaderField{"", "a"}}) {
        OutgoingCall call = get_call();
        call.headers.push_back(field);
        CHECK_THROWS_AS(connection.send(call, {}), Poco::Exception);
    }
    OutgoingCall call = get_call();
    call.target = "/ HTTP/1.1\r\na: b";
    CHECK_THROWS_AS(connection.send(call, {}), Poco::Exception);
    runner.accept();
    CHECK_FALSE(runner.has_heard());
}

} // namespace crosslink
