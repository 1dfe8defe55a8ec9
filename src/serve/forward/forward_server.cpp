// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_server.h"

#include "http_caller_link.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/forward/body_budget.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/ports/call_wire.h>

#include <Poco/Buffer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerSession.h>

#include <sys/socket.h>

#include <algorithm>
#include <cstdint>

namespace crosslink
{

namespace
{

constexpr int success = 200;
constexpr int unavailable = 503;
constexpr int small_server_threads = 8;
/// Retry time where the bodies of other calls take the instance's memory: a
/// caller that sends slowly is cut within seconds.
constexpr Micros full_retry_time = std::chrono::seconds(1);
/// One connection with its thread takes about 60 KB of memory.
constexpr std::uint64_t connections_per_mb = 8;
constexpr std::uint64_t most_threads = 2000;
/// The descriptor limit divided by this is for callers; the rest is for
/// connections to runners.
constexpr std::uint64_t caller_descriptor_divisor = 2;

HttpServerRules
small_rules()
{
    HttpServerRules rules;
    rules.most_threads = small_server_threads;
    return rules;
}

HttpServerRules
caller_rules(const ForwardState& state)
{
    const ForwardSettings& settings = state.settings;
    HttpServerRules rules;
    rules.times = state.caller_times;
    rules.single_fields = state.single_fields;
    rules.most_threads = static_cast<int>(std::min(
        {settings.memory_mb * connections_per_mb,
         settings.descriptors / caller_descriptor_divisor, most_threads}));
    rules.most_queued = rules.most_threads;
    return rules;
}

CallHead
head_of(const Poco::Net::HTTPServerRequest& request, std::uint64_t most_bytes)
{
    CallHead head;
    head.method = request.getMethod();
    head.target = request.getURI();
    head.host = request.get("Host", "");
    std::uint64_t bytes = head.method.size() + head.target.size();
    for (const auto& [name, value] : request) {
        bytes += name.size() + value.size();
        head.headers.push_back({name, value});
    }
    if (bytes > most_bytes)
        throw Error(ErrorCode::HeadersTooLarge,
                    "the head of the request is too large");
    return head;
}

/// Takes `bytes` of a body out of the instance's budget. Throws
/// Error(QueueFull) if they are not left.
void
require_held(HeldBytes& held, std::size_t bytes)
{
    if (!held.add(bytes))
        throw Error(ErrorCode::QueueFull,
                    "this instance holds too much of other requests",
                    RunState::NotDispatched, full_retry_time);
}

} // namespace

ForwardServer::ForwardServer(ForwardState& state, ForwardPath& path)
    : m_state(state), m_path(path)
{
    const ForwardSettings& settings = state.settings;
    // Started before the readiness server: calls that arrive once the instance
    // reports that it is ready would be refused otherwise.
    m_callers = std::make_unique<HttpServer>(
        settings.bind, caller_rules(state),
        [this](auto& request, auto& answer) { handle(request, answer); });
    m_ready = std::make_unique<HttpServer>(
        settings.ready_bind, small_rules(),
        [this](auto&, auto& answer) { handle_ready(answer); });
    if (!settings.metrics_bind.empty())
        m_metrics = std::make_unique<HttpServer>(
            settings.metrics_bind, small_rules(), [this](auto&, auto& answer) {
                send_answer(answer, success, "text/plain; version=0.0.4",
                            m_state.counters.text() +
                                m_state.admissions.with(
                                    [](const AdmissionCounts& counts) {
                                        return counts.text();
                                    }));
            });
}

ForwardServer::~ForwardServer() = default;

void
ForwardServer::close_after_answers()
{
    m_callers->close_after_answers();
}

void
ForwardServer::stop_listening()
{
    m_callers->stop_listening();
}

void
ForwardServer::stop_reading()
{
    m_callers->stop_reading();
}

std::uint32_t
ForwardServer::open_calls() const
{
    return m_callers->open_requests();
}

void
ForwardServer::handle_ready(Poco::Net::HTTPServerResponse& answer)
{
    const bool ready = m_state.ready();
    send_answer(answer, ready ? success : unavailable, "text/plain",
                ready ? "ready\n" : "not ready\n");
}

void
ForwardServer::handle(Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& answer)
{
    m_latest = monotonic_now();
    HttpCallerLink link(request, answer);
    HeldBytes held(m_state.bodies);
    try {
        const auto map = m_state.map();
        const CallerLimits limits = map ? map->limits : CallerLimits{};
        ForwardedCall call = m_state.ports.wire.decode_call(
            head_of(request, limits.header_bytes));
        call.received_at = monotonic_now();
        call.body =
            read_body(request, limits.body_bytes, [&held](std::size_t bytes) {
                require_held(held, bytes);
            });
        m_path.serve(call, link);
    } catch (const Error& failure) {
        LogLine("request_refused")
            .field("error", error_name(failure.code()))
            .field("why", failure.what());
        // The next bytes on this connection may be the rest of the request.
        answer.setKeepAlive(false);
        answer_failure(link, failure);
    } catch (const std::exception& failure) {
        LogLine("caller_connection").field("error", failure.what());
    }
}

} // namespace crosslink
