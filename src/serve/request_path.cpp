// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "request_path.h"

#include <adapters/clock.h>
#include <crosslink/authenticate/authenticator.h>
#include <crosslink/base/error.h>
#include <crosslink/kept/block_key.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr Micros retry_delay = std::chrono::seconds(1);
constexpr int http_ok = 200;
constexpr std::string_view completions_class = "completions";
constexpr const char* json_content_type = "application/json";
constexpr const char* done_event = "[DONE]";

Digest
fingerprint_of(const CallerRequest& request)
{
    return sha256(request.method + "\n" + request.path + "\n" + request.body);
}

std::string
error_event(const Error& failure)
{
    Json::Value body;
    body["error"]["type"] = std::string(error_name(failure.code()));
    body["error"]["message"] = failure.what();
    body["error"]["run_state"] =
        std::string(run_state_name(failure.run_state()));
    return json_text(body);
}

std::string
path_without_query(const std::string& path)
{
    return path.substr(0, path.find('?'));
}

/// Returns the key of the traffic split: the user that the request names, else
/// the account.
const std::string&
caller_id(const CompletionCall& call, const ClientAccount& account)
{
    return call.caller.empty() ? account.name : call.caller;
}

} // namespace

RequestPath::RequestPath(InstanceState& state, ClaimHandler& claim_handler,
                         RunDuties duties)
    : m_state(state), m_at_most_once(state, claim_handler), m_plain(state),
      m_gate(state), m_duties(duties)
{
}

void
RequestPath::serve(const CallerRequest& request, CallerReply& reply)
{
    // The whole request uses one revision; a change applies from the next
    // request on.
    const ConfigurationPtr configuration = m_state.configuration.current();
    if (!m_state.ready || !configuration)
        throw Error(ErrorCode::NotReady, "this instance does not serve now",
                    RunState::NotDispatched, retry_delay);
    const ClientAccount& account =
        authenticate(*configuration, request.authorization);
    const std::string path = path_without_query(request.path);
    if (path == "/v1/models" && request.method == "GET")
        serve_models(account, reply);
    else if (path == "/v1/completions" && request.method == "POST")
        serve_completion(account, request, reply, false);
    else if (path == "/v1/chat/completions" && request.method == "POST")
        serve_completion(account, request, reply, true);
    else
        serve_plain(account, request, reply);
}

void
RequestPath::serve_models(const ClientAccount& account, CallerReply& reply)
{
    Json::Value body;
    body["object"] = "list";
    body["data"] = Json::Value(Json::arrayValue);
    const auto add = [&body](const std::string& id) {
        Json::Value item;
        item["id"] = id;
        item["object"] = "model";
        body["data"].append(item);
    };
    for (const ModelGrant& grant : account.policy->models) {
        add(grant.model);
        for (const std::string& adapter : grant.adapters)
            add(grant.model + ":" + adapter);
    }
    reply.answer({http_ok, json_content_type, json_text(body)}, {});
}

void
RequestPath::serve_completion(const ClientAccount& account,
                              const CallerRequest& request, CallerReply& reply,
                              bool chat)
{
    CompletionCall call = read_completion(account, request.body, chat);
    const TrafficSplit* split = account.policy->split_for(completions_class);
    if (split && !goes_to_new_fleet(*split, caller_id(call, account))) {
        serve_from_old_fleet(*split, account, request, reply);
        return;
    }
    call.request_id = request.id;
    call.received_at = request.received_at;
    call.repeatable = request.idempotency_key.empty();
    call.keys = block_keys(
        m_state.settings.fleet_secret,
        {account.name, call.model, call.version, call.adapter}, call.prompt);
    call.prompt_tokens = token_estimate(call.prompt);
    const auto slot =
        m_gate.enter(account, call.prompt_tokens + call.max_tokens);
    if (call.repeatable) {
        const PlainAnswer answer = run_completion(call, request, reply);
        if (!reply.streaming())
            reply.answer(answer, {});
        return;
    }
    const AtMostOnceCall at_most_once_call{
        &account, path_without_query(request.path), request.idempotency_key,
        fingerprint_of(request)};
    const AtMostOnceRunner::Result result =
        m_at_most_once.run(at_most_once_call, [&] {
            return run_completion(call, request, reply);
        });
    if (!reply.streaming())
        reply.answer(result.answer, {{"Idempotency-Replayed",
                                      result.replayed ? "true" : "false"}});
}

PlainAnswer
RequestPath::run_completion(const CompletionCall& call,
                            const CallerRequest& request, CallerReply& reply)
{
    const CompletionAnswer formatter(call);
    CompletionRun run(m_state, m_duties, call, [&](std::string_view text) {
        if (!call.stream)
            return true;
        if (!reply.streaming()) {
            m_state.metrics.first_token.add(monotonic_now() -
                                            request.received_at);
            reply.begin_stream();
        }
        const bool sent = reply.send_event(formatter.token_event(text));
        // The answer of a claimed call is cached for the caller's retry, so
        // the run goes on after the caller disconnected.
        return sent || !call.repeatable;
    });
    try {
        run.run(call.repeatable ? reply.socket() : -1);
        PlainAnswer answer = relay_completion(run, call, reply);
        record_outcome(run, call, request);
        return answer;
    } catch (const Error& failure) {
        record_outcome(run, call, request);
        // A stream that has begun must end with a typed error, not silently.
        if (reply.streaming()) {
            reply.send_event(error_event(failure));
            reply.end_stream();
        }
        throw;
    }
}

PlainAnswer
RequestPath::relay_completion(CompletionRun& run, const CompletionCall& call,
                              CallerReply& reply)
{
    const CompletionAnswer formatter(call);
    const Relay& relay = run.relay();
    if (!relay.finished()) {
        ++m_state.metrics.callers_gone;
        throw Error(ErrorCode::StreamBroken, "the caller went away",
                    RunState::MayHaveRun);
    }
    if (reply.streaming()) {
        reply.send_event(formatter.last_event(
            relay.prompt_tokens(), relay.cached_tokens(), relay.next_index()));
        reply.send_event(done_event);
        reply.end_stream();
    }
    return {http_ok, json_content_type,
            formatter.body(relay.text(), relay.prompt_tokens(),
                           relay.cached_tokens(), relay.next_index())};
}

void
RequestPath::record_outcome(const CompletionRun& run,
                            const CompletionCall& call,
                            const CallerRequest& request)
{
    const Relay& relay = run.relay();
    if (run.caller_gone() && !relay.finished())
        return;
    RequestOutcome outcome;
    outcome.account = call.account->name;
    outcome.model = call.model;
    outcome.zone = m_state.settings.zone;
    outcome.objectives = call.account->policy->objectives;
    outcome.answered = relay.finished();
    if (run.times().first_token)
        outcome.first_token = *run.times().first_token - request.received_at;
    outcome.slowest_between = run.times().slowest_between;
    if (relay.finished()) {
        outcome.prompt_tokens = relay.prompt_tokens();
        outcome.computed_tokens = relay.prompt_tokens() - relay.cached_tokens();
        m_state.metrics.prompt_tokens += relay.prompt_tokens();
        m_state.metrics.reused_tokens += relay.cached_tokens();
    }
    spdlog::info("request={} account={} revision={} attempts={} model={} "
                 "whole={} prompt={} reused={} tokens={}",
                 request.id, outcome.account, m_state.configuration.revision(),
                 run.attempts(), call.model, outcome.answered,
                 relay.prompt_tokens(), relay.cached_tokens(),
                 relay.next_index());
    m_state.burn.with([&outcome](BurnReport& report) {
        report.add(outcome, monotonic_now());
    });
}

void
RequestPath::serve_plain(const ClientAccount& account,
                         const CallerRequest& request, CallerReply& reply)
{
    const std::string path = path_without_query(request.path);
    const PlainServiceGrant* grant = account.policy->service_for(path);
    if (!grant)
        throw Error(ErrorCode::UnknownPath,
                    "this client account has no service at this path");
    const bool marked_not_repeatable =
        is_not_repeatable(*grant, request.method, path);
    std::string service = grant->service;
    const TrafficSplit* split = account.policy->split_for(service);
    if (split && !goes_to_new_fleet(*split, account.name))
        service = split->old_service;
    const auto slot = m_gate.enter(account, token_estimate(request.body) + 1);
    call_plain(service, account, request, reply, marked_not_repeatable);
}

void
RequestPath::serve_from_old_fleet(const TrafficSplit& split,
                                  const ClientAccount& account,
                                  const CallerRequest& request,
                                  CallerReply& reply)
{
    const auto slot = m_gate.enter(account, token_estimate(request.body) + 1);
    call_plain(split.old_service, account, request, reply, false);
}

void
RequestPath::call_plain(const std::string& service,
                        const ClientAccount& account,
                        const CallerRequest& request, CallerReply& reply,
                        bool marked_not_repeatable)
{
    const PlainCall call = plain_call_of(request, account.name);
    const bool at_most_once = !request.idempotency_key.empty();
    const bool repeatable = !marked_not_repeatable && !at_most_once &&
                            is_idempotent_method(request.method);
    const auto dispatch = [&] {
        return m_plain.run(service, account.name, call, repeatable);
    };
    if (!at_most_once) {
        reply.answer(dispatch(), {});
        return;
    }
    // The claim names the path of the request, not the service that runs the
    // call, so that a change of the split can't lead to a second run.
    const AtMostOnceCall at_most_once_call{
        &account, path_without_query(request.path), request.idempotency_key,
        fingerprint_of(request)};
    const AtMostOnceRunner::Result result =
        m_at_most_once.run(at_most_once_call, dispatch);
    reply.answer(result.answer, {{"Idempotency-Replayed",
                                  result.replayed ? "true" : "false"}});
}

} // namespace crosslink
