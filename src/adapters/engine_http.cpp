// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "engine_http.h"

#include "wire.h"

#include <crosslink/base/error.h>
#include <crosslink/base/retry_after.h>

namespace crosslink
{

namespace
{

constexpr int success = 200;
constexpr int wrong_weights = 412;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;
constexpr std::string_view data_prefix = "data: ";
/// A line of a stream holds a few tokens.
constexpr AnswerLimit line_limit{1U << 20U};
/// The largest answers list all blocks that an engine keeps.
constexpr AnswerLimit answer_limit{16U << 20U};

/// Returns the error that an engine's refusal stands for, with the backoff that
/// it asks for.
Error
refusal(const std::string& address, const HttpAnswer& answer)
{
    const int status = answer.status;
    const auto backoff = retry_after_time(answer.retry_after.value_or(""));
    const std::string detail = address + " answered " + std::to_string(status);
    if (status == wrong_weights)
        return Error(ErrorCode::WrongWeights, detail,
                     RunState::RefusedBeforeRun);
    if (status < first_server_error || status == unavailable)
        return Error(ErrorCode::UpstreamRefused, detail,
                     RunState::RefusedBeforeRun, backoff);
    return Error(ErrorCode::UpstreamFailed, detail, RunState::MayHaveRun);
}

} // namespace

EngineHttp::EngineHttp(const std::string& address, HttpTimeouts run_timeouts,
                       HttpTimeouts call_timeouts)
    : m_runs(address, run_timeouts, line_limit),
      m_calls(address, call_timeouts, answer_limit),
      m_transfers(address, run_timeouts, answer_limit)
{
}

void
EngineHttp::stream(std::string_view path, const Json::Value& body,
                   const FrameSink& sink)
{
    HttpRequest request;
    request.path = path;
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = json_text(body);
    bool ended = false;
    const HttpAnswer answer =
        m_runs.stream(request, [&](std::string_view line) {
            if (!line.starts_with(data_prefix))
                return true;
            line.remove_prefix(data_prefix.size());
            const EngineFrame frame = wire::frame_from_json(parse_json(line));
            ended = sink(frame) == FrameVerdict::Stop || frame.last;
            return !ended;
        });
    if (answer.status != success)
        throw refusal(m_runs.address(), answer);
    if (!ended)
        throw Error(ErrorCode::StreamBroken, "the stream ended early",
                    RunState::MayHaveRun);
}

void
EngineHttp::run(const EngineRun& run, std::string_view staged_id,
                const FrameSink& sink)
{
    Json::Value body = wire::run_to_json(run);
    body["staged_id"] = std::string(staged_id);
    stream("/runs", body, sink);
}

void
EngineHttp::resume(std::string_view run_id, std::uint32_t from,
                   const FrameSink& sink)
{
    Json::Value body;
    body["run_id"] = std::string(run_id);
    body["from"] = from;
    stream("/runs/resume", body, sink);
}

void
EngineHttp::cancel(std::string_view run_id)
{
    Json::Value body;
    body["run_id"] = std::string(run_id);
    m_calls.post_json("/runs/cancel", body, ErrorCode::UpstreamRefused);
}

ImportResult
EngineHttp::import(const ImportOrder& order)
{
    Json::Value body;
    body["account"] = order.account;
    body["model"] = order.model;
    body["version"] = order.version;
    body["adapter"] = order.adapter;
    body["store"] = order.store_address;
    body["blocks"] = wire::blocks_to_json(order.blocks);
    const Json::Value answer = m_transfers.post_json(
        "/kv/import", body, ErrorCode::BlockGone, order.give_up);
    return {json_string(answer, "staged_id"),
            wire::digests_from_json(answer["contents"])};
}

void
EngineHttp::discard(std::string_view staged_id)
{
    Json::Value body;
    body["staged_id"] = std::string(staged_id);
    m_calls.post_json("/kv/discard", body, ErrorCode::UpstreamRefused);
}

std::vector<Digest>
EngineHttp::export_blocks(std::string_view store_address,
                          std::span<const ExportBlock> blocks)
{
    Json::Value body;
    body["store"] = std::string(store_address);
    body["blocks"] = json_list(blocks, [](const ExportBlock& block) {
        Json::Value item = wire::handle_to_json(block.handle);
        item["key"] = block.key.hex();
        return item;
    });
    const Json::Value answer =
        m_transfers.post_json("/kv/export", body, ErrorCode::BlockGone);
    return wire::digests_from_json(answer["contents"]);
}

EngineLoad
EngineHttp::load()
{
    const Json::Value nothing(Json::objectValue);
    return wire::load_from_json(
        m_calls.post_json("/load", nothing, ErrorCode::UpstreamRefused));
}

std::vector<CacheEvent>
EngineHttp::events_after(std::uint64_t sequence)
{
    Json::Value body;
    body["after"] = Json::UInt64(sequence);
    const Json::Value answer =
        m_calls.post_json("/kv/events", body, ErrorCode::UpstreamRefused);
    return wire::events_from_json(answer["events"]);
}

std::vector<Digest>
EngineHttp::cached_keys()
{
    const Json::Value nothing(Json::objectValue);
    const Json::Value answer =
        m_calls.post_json("/kv/keys", nothing, ErrorCode::UpstreamRefused);
    return wire::digests_from_json(answer["keys"]);
}

void
EngineHttp::order(const EngineOrder& order)
{
    Json::Value body;
    body["action"] = order.action;
    body["model"] = order.model;
    body["version"] = order.version;
    body["adapter"] = order.adapter;
    body["token"] = Json::UInt64(order.fencing_token);
    m_calls.post_json("/orders", body, ErrorCode::LeaseLost);
}

} // namespace crosslink
