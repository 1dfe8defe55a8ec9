// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "store_http.h"

#include "wire.h"

namespace crosslink
{

namespace
{

/// Some hundred bytes for each block that was asked about.
constexpr AnswerLimit answer_limit{4U << 20U};

} // namespace

StoreHttp::StoreHttp(const std::string& address, HttpTimeouts timeouts)
    : m_client(address, timeouts, answer_limit)
{
}

Json::Value
StoreHttp::ask(std::string_view path, const Json::Value& body,
               ErrorCode on_refusal)
{
    try {
        return m_client.post_json(path, body, on_refusal);
    } catch (const Error& failure) {
        if (failure.run_state() == RunState::RefusedBeforeRun)
            throw;
        throw Error(ErrorCode::StoreUnavailable, failure.what(),
                    failure.run_state());
    }
}

std::vector<SealedBlock>
StoreHttp::lookup(std::span<const Digest> keys)
{
    Json::Value body;
    body["keys"] = wire::digests_to_json(keys);
    const Json::Value answer =
        ask("/blocks/lookup", body, ErrorCode::StoreUnavailable);
    return wire::blocks_from_json(answer["blocks"]);
}

std::optional<BlockHandle>
StoreHttp::reserve(const Digest& key, std::string_view owner,
                   std::uint64_t bytes)
{
    Json::Value body;
    body["key"] = key.hex();
    body["owner"] = std::string(owner);
    body["bytes"] = Json::UInt64(bytes);
    const Json::Value answer =
        ask("/blocks/reserve", body, ErrorCode::StoreFull);
    if (!json_bool(answer, "reserved"))
        return std::nullopt;
    return wire::handle_from_json(answer);
}

void
StoreHttp::seal(const Digest& key, const BlockHandle& handle,
                const Digest& content)
{
    Json::Value body = wire::handle_to_json(handle);
    body["key"] = key.hex();
    body["content"] = content.hex();
    ask("/blocks/seal", body, ErrorCode::BlockGone);
}

void
StoreHttp::abandon(const Digest& key, const BlockHandle& handle)
{
    Json::Value body = wire::handle_to_json(handle);
    body["key"] = key.hex();
    ask("/blocks/abandon", body, ErrorCode::BlockGone);
}

std::vector<bool>
StoreHttp::verify(std::span<const SealedBlock> blocks)
{
    Json::Value body;
    body["blocks"] = wire::blocks_to_json(blocks);
    const Json::Value answer =
        ask("/blocks/verify", body, ErrorCode::StoreUnavailable);
    std::vector<bool> sealed;
    for (const Json::Value& item : answer["sealed"])
        sealed.push_back(item.asBool());
    return sealed;
}

} // namespace crosslink
