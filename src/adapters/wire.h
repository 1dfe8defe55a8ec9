// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/ports/engine.h>
#include <crosslink/ports/platform.h>
#include <crosslink/ports/store.h>

#include <span>
#include <string_view>
#include <vector>

namespace crosslink::wire
{

/// The JSON shapes that the adapters and the stand-ins share.
Json::Value digests_to_json(std::span<const Digest> digests);
std::vector<Digest> digests_from_json(const Json::Value& value);

Json::Value handle_to_json(const BlockHandle& handle);
BlockHandle handle_from_json(const Json::Value& value);
Json::Value block_to_json(const SealedBlock& block);
SealedBlock block_from_json(const Json::Value& value);
Json::Value blocks_to_json(std::span<const SealedBlock> blocks);
std::vector<SealedBlock> blocks_from_json(const Json::Value& value);

Json::Value instance_to_json(const ListedInstance& instance);
ListedInstance instance_from_json(const Json::Value& value);
std::string_view kind_name(ListedKind kind);

Json::Value load_to_json(const EngineLoad& load);
EngineLoad load_from_json(const Json::Value& value);
Json::Value run_to_json(const EngineRun& run);
EngineRun run_from_json(const Json::Value& value);
Json::Value frame_to_json(const EngineFrame& frame);
EngineFrame frame_from_json(const Json::Value& value);
Json::Value events_to_json(std::span<const CacheEvent> events);
std::vector<CacheEvent> events_from_json(const Json::Value& value);

} // namespace crosslink::wire
