// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "wire.h"

#include <crosslink/base/error.h>

#include <array>

namespace crosslink::wire
{

namespace
{

struct KindName {
    ListedKind kind;
    std::string_view name;
};

constexpr std::array kind_names{
    KindName{ListedKind::Entry, "entry"},
    KindName{ListedKind::Engine, "engine"},
    KindName{ListedKind::Store, "store"},
    KindName{ListedKind::Plain, "plain"},
};

ListedKind
kind_of(std::string_view name)
{
    for (const KindName& row : kind_names)
        if (row.name == name)
            return row.kind;
    throw Error(ErrorCode::BadRequest, "not a kind of instance");
}

Json::Value
resident_to_json(const ResidentModel& resident)
{
    Json::Value value;
    value["model"] = resident.model;
    value["version"] = resident.version;
    value["adapters"] = json_strings(resident.adapters);
    return value;
}

ResidentModel
resident_from_json(const Json::Value& value)
{
    ResidentModel resident;
    resident.model = json_string(value, "model");
    resident.version = json_string(value, "version");
    resident.adapters = strings_from_json(value["adapters"]);
    return resident;
}

/// An event stands as [sequence, key, stored].
Json::Value
event_to_json(const CacheEvent& event)
{
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64(event.sequence));
    row.append(event.key.hex());
    row.append(event.stored);
    return row;
}

CacheEvent
event_from_json(const Json::Value& row)
{
    return {row[0].asUInt64(), Digest::from_hex(row[1].asString()),
            row[2].asBool()};
}

} // namespace

Json::Value
digests_to_json(std::span<const Digest> digests)
{
    return json_list(digests,
                     [](const Digest& digest) { return digest.hex(); });
}

std::vector<Digest>
digests_from_json(const Json::Value& value)
{
    return list_from_json(value, [](const Json::Value& item) {
        return Digest::from_hex(item.asString());
    });
}

Json::Value
handle_to_json(const BlockHandle& handle)
{
    Json::Value value;
    value["slot"] = Json::UInt64(handle.slot);
    value["generation"] = Json::UInt64(handle.generation);
    value["incarnation"] = Json::UInt64(handle.incarnation);
    return value;
}

BlockHandle
handle_from_json(const Json::Value& value)
{
    return {json_uint64(value, "slot"), json_uint64(value, "generation"),
            json_uint64(value, "incarnation")};
}

Json::Value
block_to_json(const SealedBlock& block)
{
    Json::Value value = handle_to_json(block.handle);
    value["key"] = block.key.hex();
    value["content"] = block.content.hex();
    value["bytes"] = Json::UInt64(block.bytes);
    return value;
}

SealedBlock
block_from_json(const Json::Value& value)
{
    SealedBlock block;
    block.handle = handle_from_json(value);
    block.key = Digest::from_hex(json_string(value, "key"));
    block.content = Digest::from_hex(json_string(value, "content"));
    block.bytes = json_uint64(value, "bytes");
    return block;
}

Json::Value
blocks_to_json(std::span<const SealedBlock> blocks)
{
    return json_list(blocks, block_to_json);
}

std::vector<SealedBlock>
blocks_from_json(const Json::Value& value)
{
    return list_from_json(value, block_from_json);
}

std::string_view
kind_name(ListedKind kind)
{
    for (const KindName& row : kind_names)
        if (row.kind == kind)
            return row.name;
    return "plain";
}

Json::Value
instance_to_json(const ListedInstance& instance)
{
    Json::Value value;
    value["id"] = instance.id;
    value["kind"] = std::string(kind_name(instance.kind));
    value["address"] = instance.address;
    value["zone"] = instance.zone;
    value["service"] = instance.service;
    value["leaving"] = instance.leaving;
    return value;
}

ListedInstance
instance_from_json(const Json::Value& value)
{
    ListedInstance instance;
    instance.id = json_string(value, "id");
    instance.kind = kind_of(json_string(value, "kind"));
    instance.address = json_string(value, "address");
    instance.zone = json_string(value, "zone");
    instance.service = json_string(value, "service");
    instance.leaving = json_bool(value, "leaving");
    return instance;
}

Json::Value
load_to_json(const EngineLoad& load)
{
    Json::Value value;
    value["engine_id"] = load.engine_id;
    value["resident"] = json_list(load.resident, resident_to_json);
    value["running"] = load.running;
    value["waiting"] = load.waiting;
    value["waiting_tokens"] = Json::UInt64(load.waiting_tokens);
    value["prefill_tokens_per_second"] = load.prefill_tokens_per_second;
    value["import_bytes_per_second"] = load.import_bytes_per_second;
    value["block_bytes"] = Json::UInt64(load.block_bytes);
    value["slots"] = load.slots;
    value["leaving"] = load.leaving;
    value["last_event"] = Json::UInt64(load.last_event);
    return value;
}

EngineLoad
load_from_json(const Json::Value& value)
{
    EngineLoad load;
    load.engine_id = json_string(value, "engine_id");
    load.resident = list_from_json(value["resident"], resident_from_json);
    load.running = json_uint32(value, "running");
    load.waiting = json_uint32(value, "waiting");
    load.waiting_tokens = json_uint64(value, "waiting_tokens");
    load.prefill_tokens_per_second =
        json_double(value, "prefill_tokens_per_second");
    load.import_bytes_per_second =
        json_double(value, "import_bytes_per_second");
    load.block_bytes = json_uint64(value, "block_bytes");
    load.slots = json_uint32(value, "slots", 1);
    load.leaving = json_bool(value, "leaving");
    load.last_event = json_uint64(value, "last_event");
    return load;
}

Json::Value
run_to_json(const EngineRun& run)
{
    Json::Value value;
    value["run_id"] = run.run_id;
    value["account"] = run.account;
    value["model"] = run.model;
    value["version"] = run.version;
    value["adapter"] = run.adapter;
    value["prompt"] = run.prompt;
    value["max_tokens"] = run.max_tokens;
    value["priority"] = run.priority;
    value["block_keys"] = digests_to_json(run.block_keys);
    value["continued_text"] = run.continued_text;
    value["continued_tokens"] = run.continued_tokens;
    return value;
}

EngineRun
run_from_json(const Json::Value& value)
{
    EngineRun run;
    run.run_id = json_string(value, "run_id");
    run.account = json_string(value, "account");
    run.model = json_string(value, "model");
    run.version = json_string(value, "version");
    run.adapter = json_string(value, "adapter");
    run.prompt = json_string(value, "prompt");
    run.max_tokens = json_uint32(value, "max_tokens", run.max_tokens);
    run.priority = json_uint32(value, "priority", run.priority);
    run.block_keys = digests_from_json(value["block_keys"]);
    run.continued_text = json_string(value, "continued_text");
    run.continued_tokens = json_uint32(value, "continued_tokens");
    return run;
}

Json::Value
frame_to_json(const EngineFrame& frame)
{
    Json::Value value;
    value["run_id"] = frame.run_id;
    value["index"] = frame.index;
    value["text"] = frame.text;
    value["version"] = frame.version;
    if (!frame.last)
        return value;
    value["last"] = true;
    value["prompt_tokens"] = frame.prompt_tokens;
    value["cached_tokens"] = frame.cached_tokens;
    return value;
}

EngineFrame
frame_from_json(const Json::Value& value)
{
    EngineFrame frame;
    frame.run_id = json_string(value, "run_id");
    frame.index = json_uint32(value, "index");
    frame.text = json_string(value, "text");
    frame.version = json_string(value, "version");
    frame.last = json_bool(value, "last");
    frame.prompt_tokens = json_uint32(value, "prompt_tokens");
    frame.cached_tokens = json_uint32(value, "cached_tokens");
    return frame;
}

Json::Value
events_to_json(std::span<const CacheEvent> events)
{
    return json_list(events, event_to_json);
}

std::vector<CacheEvent>
events_from_json(const Json::Value& value)
{
    return list_from_json(value, event_from_json);
}

} // namespace crosslink::wire
