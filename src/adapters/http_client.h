// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/error.h>
#include <crosslink/base/json.h>
#include <crosslink/base/time.h>
#include <crosslink/ports/plain_service.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Time-outs of one kind of upstream.
struct HttpTimeouts {
    Micros connect = std::chrono::milliseconds(500);
    Micros receive = std::chrono::seconds(5);
};

/// Limits of one kind of upstream, by what its answers can be.
struct AnswerLimit {
    std::size_t max_bytes = 0; ///< Of a body, or of a line of a stream.
    /// Longest time from the head of a whole answer to its end: one that comes
    /// byte by byte would hold its reader for ever.
    Micros max_body_time = std::chrono::seconds(10);
};

/// A request as it goes out.
struct HttpRequest {
    std::string method = "POST";
    std::string path;
    std::vector<HeaderField> headers;
    std::string body;
    /// Time to wait for the answer; empty for the client's own.
    std::optional<Micros> receive_timeout;
    /// Name of a header of the answer that the caller reads; empty for none.
    std::string_view wanted_header;
};

/// A whole answer.
struct HttpAnswer {
    int status = 0;
    std::string content_type;
    std::string body;
    std::optional<std::string> retry_after; ///< The header of that name.
    /// Value of HttpRequest::wanted_header.
    std::optional<std::string> wanted_header;
};

/// HTTP/1.1 to one address, over kept connections. A failure is an Error with
/// UpstreamFailed, UpstreamTimeout or AnswerTooLarge, and its run_state() tells
/// how far the request came: NotDispatched only where no byte of it can have
/// been read. Safe for many threads.
class HttpClient
{
public:
    HttpClient(std::string address, HttpTimeouts timeouts, AnswerLimit limit);
    ~HttpClient();

    const std::string& address() const { return m_address; }
    /// Sends `request` and returns the answer, whatever its status.
    /// `fresh_connection` avoids a kept connection that the other side may
    /// have closed, where it must be certain whether the request arrived.
    HttpAnswer exchange(const HttpRequest& request,
                        bool fresh_connection = false);
    /// Sends JSON with POST and returns the JSON of a 2xx answer. Others throw
    /// Error with `code` and, for 4xx and 503, RefusedBeforeRun.
    Json::Value post_json(std::string_view path, const Json::Value& body,
                          ErrorCode code,
                          std::optional<Micros> receive_timeout = {});
    /// Sends `request` and feeds `on_line` with each line of a 2xx answer
    /// until it returns false or the answer ends. Other answers are returned.
    using LineSink = std::function<bool(std::string_view line)>;
    HttpAnswer stream(const HttpRequest& request, const LineSink& on_line);

    /// Bytes sent and received so far, bodies and lines only.
    std::uint64_t bytes() const { return m_bytes; }

private:
    class Connection;
    using Session = std::unique_ptr<Connection>;

    Session take();
    Session connect();
    void put_back(Session session);
    /// After a failure: kept connections break or fall silent together, and
    /// each of them would cost one more request its time.
    void drop_kept();
    /// Sends `request`; `state` tells how far it came, also when this throws.
    Session begin(const HttpRequest& request, bool fresh_connection,
                  RunState& state);

    const std::string m_address;
    const HttpTimeouts m_timeouts;
    const AnswerLimit m_limit;
    std::mutex m_mutex;
    std::vector<Session> m_idle;
    std::atomic<std::uint64_t> m_bytes{0};
};

} // namespace crosslink
