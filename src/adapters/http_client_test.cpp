// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "connection_times.h"
#include "http_client.h"
#include "http_server.h"
#include "testing/raw_peer.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <cstddef>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

constexpr int success = 200;
constexpr std::size_t kept = 3;
constexpr AnswerLimit small_answers{1000};
/// Longer than a case may take, so that only silence ends a wait.
constexpr Micros far_off = std::chrono::seconds(20);
constexpr Micros soon = std::chrono::milliseconds(20);

HttpServerRules
short_rules()
{
    HttpServerRules rules;
    rules.receive_seconds = 1;
    rules.times->change({.idle = std::chrono::seconds(1)});
    return rules;
}

/// A server whose open connections can fall silent.
class FadingServer
{
public:
    FadingServer()
        : m_server("127.0.0.1:0", short_rules(),
                   [this](auto& request, auto& answer) {
                       handle(request.clientAddress().toString(), answer);
                   })
    {
    }
    ~FadingServer()
    {
        const std::lock_guard lock(m_mutex);
        m_ends = true;
        m_changed.notify_all();
    }
    FadingServer(const FadingServer&) = delete;
    FadingServer& operator=(const FadingServer&) = delete;

    std::string address() const { return m_server.address(); }
    /// No connection that carried a request is answered again.
    void silence()
    {
        const std::lock_guard lock(m_mutex);
        m_silent = m_seen;
    }

private:
    /// Answers once so many connections as are to be kept have carried one.
    void handle(const std::string& peer, Poco::Net::HTTPServerResponse& answer)
    {
        std::unique_lock lock(m_mutex);
        m_seen.insert(peer);
        m_changed.notify_all();
        if (m_silent.contains(peer))
            m_changed.wait(lock, [this] { return m_ends; });
        m_changed.wait(lock,
                       [this] { return m_ends || m_seen.size() >= kept; });
        lock.unlock();
        send_answer(answer, success, "text/plain", "yes");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_ends = false;
    std::set<std::string> m_seen; ///< Addresses of the clients' ends.
    std::set<std::string> m_silent;
    HttpServer m_server; ///< Ends first.
};

HttpRequest
question(Micros longest)
{
    HttpRequest request;
    request.path = "/";
    request.receive_timeout = longest;
    return request;
}

/// An answer as it stands on a connection, up to where a part of it may not be
/// told from the whole.
struct Sent {
    std::string bytes;
    std::size_t undecided; ///< From this byte on.
};

Sent
sent(const std::string& fields, const std::string& body)
{
    const std::string head = "HTTP/1.1 200 OK\r\nStore-Era: 12\r\n" + fields +
                             "Retry-After: 30\r\n\r\n";
    return {head + body, head.size() + body.size()};
}

std::vector<Sent>
answers_of_each_framing()
{
    const std::string lines = "{\"a\":1}\nsecond\n";
    Sent unframed = sent("", lines);
    // Its connection is all that ends it, once it has begun.
    unframed.undecided -= lines.size() - 1;
    return {
        sent("Content-Length: 15\r\n", lines),
        sent("Transfer-Encoding: chunked\r\n",
             "8\r\n{\"a\":1}\n\r\n7;x=1\r\nsecond\n\r\n0\r\nX-Nota: a\r\n\r\n"),
        unframed};
}

/// Calls `use` with a client whose peer says `bytes` and ends, with a reset
/// where `resets`.
template<typename Use>
void
with_peer_that_says(const std::string& bytes, bool resets, const Use& use)
{
    RawPeer peer;
    HttpClient client(peer.address(), HttpTimeouts{far_off, far_off},
                      small_answers);
    auto used = std::async(std::launch::async, [&] { use(client); });
    peer.accept();
    peer.say(bytes);
    if (resets)
        peer.reset();
    else
        peer.end();
    used.get();
}

} // namespace

TEST_CASE("an answer that is cut at any byte is none")
{
    for (const bool resets : {false, true})
        for (const Sent& answer : answers_of_each_framing())
            for (std::size_t cut = 0; cut < answer.undecided; ++cut) {
                CAPTURE(resets, answer.bytes, cut);
                with_peer_that_says(answer.bytes.substr(0, cut), resets,
                                    [](HttpClient& client) {
                                        CHECK_THROWS_AS(
                                            client.exchange(question(far_off)),
                                            Error);
                                    });
            }
}

TEST_CASE("a whole answer of each framing is read with its head")
{
    for (const Sent& answer : answers_of_each_framing())
        with_peer_that_says(answer.bytes, false, [](HttpClient& client) {
            HttpRequest request = question(far_off);
            request.wanted_header = "store-era";
            const HttpAnswer got = client.exchange(request);
            CHECK(got.status == success);
            CHECK(got.body == "{\"a\":1}\nsecond\n");
            CHECK(got.wanted_header == "12");
            CHECK(got.retry_after == "30");
        });
}

TEST_CASE("a stream that is cut at any byte gives whole lines only")
{
    for (const bool resets : {false, true})
        for (const Sent& answer : answers_of_each_framing())
            for (std::size_t cut = 0; cut < answer.undecided; ++cut) {
                CAPTURE(resets, answer.bytes, cut);
                std::vector<std::string> lines;
                with_peer_that_says(
                    answer.bytes.substr(0, cut), resets,
                    [&lines](HttpClient& client) {
                        try {
                            client.stream(question(far_off),
                                          [&lines](std::string_view line) {
                                              lines.emplace_back(line);
                                              return true;
                                          });
                        } catch (const Error&) {
                        }
                    });
                CHECK(lines.size() <= 2);
                CHECK((lines.empty() || lines[0] == "{\"a\":1}"));
                CHECK((lines.size() < 2 || lines[1] == "second"));
            }
}

// The readers of engines, stores and other instances.
TEST_CASE("an answer whose status is none is no answer")
{
    for (const std::string status :
         {"000", "099", "600", "999", "101", "20", "2000", "2x0", ""}) {
        CAPTURE(status);
        with_peer_that_says(
            "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok", false,
            [](HttpClient& client) {
                CHECK_THROWS_AS(client.exchange(question(far_off)), Error);
            });
    }
}

// Bodies and lines were held whole: a runner took the memory of its caller.
TEST_CASE("an answer without end is given up at the limit")
{
    const std::string piece(100, 'x');
    const std::vector<std::pair<std::string, std::string>> forms{
        {"Content-Length: 1000000000\r\n", piece},
        {"Transfer-Encoding: chunked\r\n", "64\r\n" + piece + "\r\n"},
        {"", piece}};
    for (const auto& [field, sent_piece] : forms)
        for (const bool streams : {false, true}) {
            CAPTURE(field, streams);
            RawPeer peer;
            HttpClient client(peer.address(), HttpTimeouts{far_off, far_off},
                              small_answers);
            auto code = std::async(std::launch::async, [&] {
                try {
                    if (streams)
                        client.stream(question(far_off),
                                      [](std::string_view) { return true; });
                    else
                        client.exchange(question(far_off));
                } catch (const Error& failure) {
                    return failure.code();
                }
                return ErrorCode::Internal;
            });
            peer.accept();
            peer.say("HTTP/1.1 200 OK\r\n" + field + "\r\n");
            while (peer.try_say(sent_piece)) {
            }
            CHECK(code.get() == ErrorCode::AnswerTooLarge);
        }
}

TEST_CASE("a kept connection that is silent stands for those kept with it")
{
    FadingServer server;
    HttpClient client(server.address(), HttpTimeouts{far_off, far_off},
                      small_answers);
    std::vector<std::future<int>> answers;
    for (std::size_t i = 0; i < kept; ++i)
        answers.push_back(std::async(std::launch::async, [&client] {
            return client.exchange(question(far_off)).status;
        }));
    for (auto& answer : answers)
        CHECK(answer.get() == success);
    server.silence();
    CHECK_THROWS_AS(client.exchange(question(soon)), Error);
    CHECK(client.exchange(question(far_off)).status == success);
}

} // namespace crosslink
