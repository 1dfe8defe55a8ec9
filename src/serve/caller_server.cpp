// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "caller_server.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <adapters/server_request.h>
#include <crosslink/base/error.h>

#include <Poco/Exception.h>

#include <spdlog/spdlog.h>

#include <cmath>
#include <ostream>

namespace crosslink
{

namespace
{

constexpr int success = 200;
constexpr int unavailable = 503;
/// Threads in addition to those of admitted requests, for health checks,
/// metrics and refusals.
constexpr int spare_threads = 64;

class HttpReply : public CallerReply
{
public:
    HttpReply(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& answer)
        : m_request(ServerRequest::from(request)), m_answer(answer)
    {
    }
    ~HttpReply() override
    {
        if (m_out == nullptr || m_ended)
            return;
        m_answer.setKeepAlive(false);
        try {
            m_request.abort();
        } catch (const Poco::Exception& failure) {
            spdlog::debug("caller connection failed: {}",
                          failure.displayText());
        }
    }
    HttpReply(const HttpReply&) = delete;
    HttpReply& operator=(const HttpReply&) = delete;

    void answer(const PlainAnswer& content,
                const std::vector<HeaderField>& headers) override
    {
        for (const HeaderField& field : headers)
            m_answer.set(field.name, field.value);
        send_answer(m_answer, content.status, content.content_type,
                    content.body);
    }

    void begin_stream() override
    {
        m_answer.setContentType("text/event-stream");
        m_answer.set("Cache-Control", "no-store");
        m_answer.setChunkedTransferEncoding(true);
        try {
            m_out = &m_answer.send();
        } catch (const Poco::Exception&) {
            m_disconnected = true;
        }
    }

    bool send_event(std::string_view data) override
    {
        if (m_disconnected || m_out == nullptr)
            return false;
        // A single write for each event, so that no part of it is delayed.
        m_event.assign("data: ");
        m_event += data;
        m_event += "\n\n";
        m_out->write(m_event.data(),
                     static_cast<std::streamsize>(m_event.size()));
        m_out->flush();
        return m_out->good();
    }

    void end_stream() override { m_ended = true; }

    bool streaming() const override
    {
        return m_out != nullptr || m_disconnected;
    }
    int socket() const override { return m_request.descriptor(); }

private:
    ServerRequest& m_request;
    Poco::Net::HTTPServerResponse& m_answer;
    std::ostream* m_out = nullptr;
    bool m_ended = false;
    bool m_disconnected = false; ///< The caller's connection failed.
    std::string m_event;
};

/// Counts a request as running during the lifetime of the object.
class RunningCount
{
public:
    explicit RunningCount(std::atomic<int>& count) : m_count(count)
    {
        ++m_count;
    }
    ~RunningCount() { --m_count; }
    RunningCount(const RunningCount&) = delete;
    RunningCount& operator=(const RunningCount&) = delete;

private:
    std::atomic<int>& m_count;
};

Json::Value
error_json(const Error& failure, const std::string& request_id)
{
    Json::Value error;
    error["type"] = std::string(error_name(failure.code()));
    error["message"] = failure.what();
    error["run_state"] = std::string(run_state_name(failure.run_state()));
    error["not_run"] = is_not_run(failure.run_state());
    error["request_id"] = request_id;
    Json::Value body;
    body["error"] = error;
    return body;
}

void
send_error(Poco::Net::HTTPServerResponse& answer, const Error& failure,
           const std::string& request_id)
{
    if (failure.retry_after()) {
        const double wait = std::ceil(seconds(*failure.retry_after()));
        answer.set("Retry-After",
                   std::to_string(static_cast<long>(std::max(wait, 1.0))));
    }
    send_json(answer, error_status(failure.code()),
              error_json(failure, request_id));
}

HttpServerRules
rules_of(const Settings& settings)
{
    HttpServerRules rules;
    rules.most_threads =
        static_cast<int>(settings.most_running + settings.most_waiting) +
        spare_threads;
    rules.most_queued = rules.most_threads;
    return rules;
}

CallerRequest
caller_request(Poco::Net::HTTPServerRequest& request,
               std::uint64_t most_body_bytes)
{
    CallerRequest result;
    result.received_at = monotonic_now();
    result.id = random_name();
    result.method = request.getMethod();
    result.path = request.getURI();
    result.authorization = request.get("Authorization", "");
    result.idempotency_key = request.get("Idempotency-Key", "");
    result.content_type = request.get("Content-Type", "");
    result.body = read_body(request, most_body_bytes);
    return result;
}

} // namespace

CallerServer::CallerServer(InstanceState& state, RequestPath& path)
    : m_state(state), m_path(path),
      m_server(std::make_unique<HttpServer>(
          state.settings.bind, rules_of(state.settings),
          [this](auto& request, auto& answer) { handle(request, answer); }))
{
}

bool
CallerServer::handle_health(const std::string& path,
                            Poco::Net::HTTPServerResponse& answer)
{
    if (path == "/healthz") {
        send_answer(answer, success, "text/plain", "ok\n");
    } else if (path == "/readyz") {
        const bool ready = m_state.ready && !m_state.stopping;
        send_answer(answer, ready ? success : unavailable, "text/plain",
                    ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        send_answer(answer, success, "text/plain; version=0.0.4",
                    m_state.metrics.text());
    } else {
        return false;
    }
    return true;
}

void
CallerServer::handle(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& answer)
{
    const RunningCount running(m_running);
    try {
        if (!handle_health(request.getURI(), answer))
            handle_caller(request, answer);
    } catch (const std::exception& failure) {
        // The caller's connection failed, so no answer can be sent.
        spdlog::debug("caller connection failed: {}", failure.what());
    }
}

void
CallerServer::handle_caller(Poco::Net::HTTPServerRequest& request,
                            Poco::Net::HTTPServerResponse& answer)
{
    ++m_state.metrics.requests;
    m_latest = monotonic_now();
    HttpReply reply(request, answer);
    std::string id;
    try {
        const CallerRequest call =
            caller_request(request, m_state.settings.most_body_bytes);
        id = call.id;
        answer.set("X-Request-Id", id);
        m_path.serve(call, reply);
        ++m_state.metrics.answered;
    } catch (const Error& failure) {
        ++(is_not_run(failure.run_state())
               ? m_state.metrics.refused_not_run
               : m_state.metrics.failed_may_have_run);
        spdlog::info("request={} error={} run_state={} {}", id,
                     error_name(failure.code()),
                     run_state_name(failure.run_state()), failure.what());
        // After a body that was not read to its end, the connection can't be
        // used for another request.
        if (failure.code() == ErrorCode::BodyTooLarge ||
            failure.code() == ErrorCode::RequestTimeout ||
            failure.code() == ErrorCode::BadRequest)
            answer.setKeepAlive(false);
        if (!reply.streaming())
            send_error(answer, failure, id);
    }
}

} // namespace crosslink
