// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "connection_times.h"
#include "single_fields.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <crosslink/base/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crosslink
{

/// Sizes of one HTTP server.
struct HttpServerRules {
    int most_threads = 256; ///< Connections served at once.
    int most_queued = 256;  ///< Connections that wait.
    /// A sender that pauses for longer within a body is cut, and so is a
    /// connection whose other side takes or acknowledges nothing for so long.
    int receive_seconds = 10;
    /// What callers may take; may change while the server runs.
    std::shared_ptr<ConnectionTimes> times =
        std::make_shared<ConnectionTimes>();
    /// A request with several fields of one of these names is refused.
    SingleFields single_fields;
};

/// An HTTP/1.1 server on one address; all requests go to one handler, which
/// must not throw.
class HttpServer
{
public:
    using Handler = std::function<void(Poco::Net::HTTPServerRequest& request,
                                       Poco::Net::HTTPServerResponse& answer)>;

    /// Binds `address` ("ip:port", port 0 for any) and serves at once.
    HttpServer(const std::string& address, const HttpServerRules& rules,
               Handler handler);
    /// Stops and waits for the requests that run.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Returns the address bound, with its port.
    std::string address() const;
    /// Ends each connection with its next answer, also with that to a request
    /// that is being served.
    void close_after_answers();
    /// Takes no new connections; those that run go on.
    void stop_listening();
    /// Reads no further request, and closes connections that rest.
    void stop_reading();
    /// Returns how many requests are being read or answered: from the first
    /// byte of one to the last byte of its answer.
    std::uint32_t open_requests() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Called with the size of each piece of a body before it is kept.
using PieceObserver = std::function<void(std::size_t)>;
/// Reads a body of up to `most_bytes`. Throws Error(BodyTooLarge), and
/// Error(BadRequest) where it ends early or is in no chunks, and
/// Error(RequestTimeout) where it pauses for too long. What `observe` throws
/// passes through.
std::string read_body(Poco::Net::HTTPServerRequest& request,
                      std::uint64_t most_bytes,
                      const PieceObserver& observe = {});
/// Sends `body` as the whole answer.
void send_answer(Poco::Net::HTTPServerResponse& answer, int status,
                 std::string_view content_type, std::string_view body);
/// Sends JSON as the whole answer.
void send_json(Poco::Net::HTTPServerResponse& answer, int status,
               const Json::Value& body);

} // namespace crosslink
