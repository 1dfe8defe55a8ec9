// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "standin_server.h"

#include <adapters/http_client.h>
#include <adapters/server_request.h>
#include <crosslink/base/error.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>

namespace crosslink::standins
{

namespace
{

constexpr std::uint64_t most_body_bytes = 64U << 20U;
constexpr AnswerLimit answer_limit{most_body_bytes};
constexpr auto announce_period = std::chrono::milliseconds(500);
constexpr auto announce_step = std::chrono::milliseconds(20);
constexpr int unavailable = 503;

Json::Value
error_body(const std::string& what)
{
    Json::Value body;
    body["error"] = what;
    return body;
}

/// Returns the Retry-After of a refusal: seconds, as many as the fault orders.
std::string
retry_after(const Fault& fault)
{
    constexpr std::uint32_t millis_per_second = 1000;
    return std::to_string(std::max(fault.ms / millis_per_second, 1U));
}

/// Sends the head of a longer answer and half of it, then cuts.
void
send_half(Poco::Net::HTTPServerRequest& request,
          Poco::Net::HTTPServerResponse& answer, const std::string& text)
{
    answer.setContentType("application/json");
    answer.setContentLength(static_cast<std::streamsize>(text.size()));
    std::ostream& out = answer.send();
    out.write(text.data(), static_cast<std::streamsize>(text.size() / 2));
    out.flush();
    cut_connection(request);
}

} // namespace

void
cut_connection(Poco::Net::HTTPServerRequest& request)
{
    ServerRequest::from(request).abort();
}

StandinServer::~StandinServer()
{
    m_stop = true;
    m_faults.clear();
    if (m_announcer.joinable())
        m_announcer.join();
}

void
StandinServer::call(const std::string& path, Call handler)
{
    m_calls[path] = std::move(handler);
}

void
StandinServer::raw(const std::string& path, Raw handler)
{
    m_raws[path] = std::move(handler);
}

void
StandinServer::start(const StandinSettings& settings)
{
    HttpServerRules rules;
    rules.most_threads = 512;
    rules.most_queued = 512;
    m_server = std::make_unique<HttpServer>(
        settings.bind, rules, [this](auto& request, auto& answer) {
            try {
                handle(request, answer);
            } catch (const std::exception&) {
                cut_connection(request);
            }
        });
    std::printf("listening %s\n", address().c_str());
    std::fflush(stdout);
}

void
StandinServer::announce(const StandinSettings& settings, Json::Value instance)
{
    if (settings.platform.empty())
        return;
    instance["address"] = address();
    instance["id"] = settings.id.empty() ? address() : settings.id;
    instance["zone"] = settings.zone;
    m_announcer = std::thread([this, settings, instance]() mutable {
        HttpClient client(settings.platform, {}, answer_limit);
        while (!m_stop) {
            instance["leaving"] = m_leaving.load();
            try {
                client.post_json("/instances/announce", instance,
                                 ErrorCode::PlatformUnavailable);
            } catch (const Error&) {
                // The platform may be down; the next round tries again.
            }
            for (auto slept = announce_step; slept < announce_period && !m_stop;
                 slept += announce_step)
                std::this_thread::sleep_for(announce_step);
        }
    });
}

void
StandinServer::wait_for_signal()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    int number = 0;
    sigwait(&set, &number);
}

bool
StandinServer::apply_before(const Fault& fault,
                            Poco::Net::HTTPServerRequest& request,
                            Poco::Net::HTTPServerResponse& answer)
{
    switch (fault.kind) {
    case FaultKind::Delay:
        std::this_thread::sleep_for(std::chrono::milliseconds(fault.ms));
        return false;
    case FaultKind::Freeze:
        m_faults.wait_for_clear();
        return false;
    case FaultKind::Refuse:
        answer.set("Retry-After", retry_after(fault));
        send_json(answer, unavailable, error_body("refused by order"));
        return true;
    case FaultKind::DropRequest:
        cut_connection(request);
        return true;
    case FaultKind::DropAnswer:
    case FaultKind::FailAfter:
    case FaultKind::CutAnswer:
        break;
    }
    return false;
}

void
StandinServer::handle(Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& answer)
{
    const std::string& uri = request.getURI();
    if (uri == "/fault") {
        m_faults.add(parse_json(read_body(request, most_body_bytes)));
        send_json(answer, 200, Json::Value(Json::objectValue));
        return;
    }
    if (uri == "/fault/clear") {
        m_faults.clear();
        send_json(answer, 200, Json::Value(Json::objectValue));
        return;
    }
    const auto fault = m_faults.meets(uri);
    if (fault && apply_before(*fault, request, answer))
        return;
    const bool drop = fault && fault->kind == FaultKind::DropAnswer;
    if (fault && fault->kind == FaultKind::FailAfter)
        request.set("X-Standin-Fail-After", "1");
    const auto found = m_calls.find(uri);
    if (found == m_calls.end()) {
        dispatch(uri, request, answer, drop);
        return;
    }
    Json::Value result;
    try {
        const std::string body = read_body(request, most_body_bytes);
        result = found->second(body.empty() ? Json::Value() : parse_json(body));
    } catch (const Error& failure) {
        send_json(answer, error_status(failure.code()),
                  error_body(failure.what()));
        return;
    }
    if (drop)
        cut_connection(request);
    else if (fault && fault->kind == FaultKind::CutAnswer)
        send_half(request, answer, json_text(result));
    else
        send_json(answer, 200, result);
}

void
StandinServer::dispatch(const std::string& path,
                        Poco::Net::HTTPServerRequest& request,
                        Poco::Net::HTTPServerResponse& answer, bool drop_answer)
{
    for (auto at = m_raws.rbegin(); at != m_raws.rend(); ++at) {
        if (!path.starts_with(at->first))
            continue;
        if (drop_answer)
            request.set("X-Standin-Drop-Answer", "1");
        at->second(request, answer);
        return;
    }
    send_json(answer, 404, error_body("no such path"));
}

} // namespace crosslink::standins
