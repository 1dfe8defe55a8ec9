// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "fleet_json.h"

#include <adapters/packed_text.h>

#include <crosslink/base/error.h>

namespace crosslink
{

namespace
{

/// Greatest length of an unpacked snapshot: five times that of 20,000 runners.
constexpr std::size_t most_bytes = 40U << 20U;

Json::Value
place_to_json(const KeptPlace& place)
{
    Json::Value value;
    value["kind"] = static_cast<int>(place.kind);
    value["store"] = place.store;
    value["until"] = Json::UInt64(place.until);
    value["reason"] = static_cast<int>(place.reason);
    return value;
}

KeptPlace
place_from_json(const Json::Value& value)
{
    KeptPlace place;
    const auto kind = json_uint64(value, "kind");
    if (kind == static_cast<std::uint64_t>(KeptPlace::Kind::Fetch))
        place.kind = KeptPlace::Kind::Fetch;
    if (kind == static_cast<std::uint64_t>(KeptPlace::Kind::Save))
        place.kind = KeptPlace::Kind::Save;
    place.store = json_string(value, "store");
    place.until = json_uint64(value, "until");
    const auto reason = json_uint64(value, "reason");
    if (reason <= static_cast<std::uint64_t>(KeptPlace::Reason::SlowStore))
        place.reason = static_cast<KeptPlace::Reason>(reason);
    return place;
}

Json::Value
part_to_json(const PromptPart& part)
{
    Json::Value value;
    value["id"] = part.id;
    value["tokens"] = part.tokens;
    return value;
}

PromptPart
part_from_json(const Json::Value& value)
{
    return {json_string(value, "id"), json_uint32(value, "tokens")};
}

/// [KEY, REVISION, VALUE], with the value in the platform's own format, or
/// [KEY, REVISION] where the key was removed.
Json::Value
change_to_json(const KeyChange& entry)
{
    Json::Value row(Json::arrayValue);
    row.append(entry.key);
    row.append(Json::UInt64(entry.revision));
    if (entry.value)
        row.append(*entry.value);
    return row;
}

KeyChange
change_from_json(const Json::Value& row)
{
    const bool has_value = row.isArray() && row.size() > 2;
    if (!row.isArray() || row.size() < 2 || !row[0].isString() ||
        !row[1].isUInt64() || (has_value && !row[2].isString()))
        throw Error(ErrorCode::BadJson, "a change without key or revision");
    KeyChange entry;
    entry.key = row[0].asString();
    entry.revision = row[1].asUInt64();
    if (has_value)
        entry.value = row[2].asString();
    return entry;
}

} // namespace

Json::Value
to_json(const StorePosition& position)
{
    Json::Value value(Json::arrayValue);
    value.append(Json::UInt64(position.era));
    value.append(Json::UInt64(position.revision));
    return value;
}

StorePosition
store_position_from_json(const Json::Value& value)
{
    if (value.isNull())
        return {};
    if (!value.isArray() || value.size() != 2 || !value[0].isUInt64() ||
        !value[1].isUInt64())
        throw Error(ErrorCode::BadJson, "a position without era or revision");
    return {value[0].asUInt64(), value[1].asUInt64()};
}

Json::Value
to_json(const ChangePage& page)
{
    Json::Value value;
    value["since"] = Json::UInt64(page.since);
    value["place"] = to_json(page.position);
    value["whole"] = page.is_snapshot;
    if (page.packed)
        value["packed"] = *page.packed;
    else
        value["entries"] = json_list(page.entries, change_to_json);
    return value;
}

std::string
pack_entries(std::span<const KeyChange> entries)
{
    return pack_text(json_text(json_list(entries, change_to_json)));
}

ChangePage
change_page_from_json(const Json::Value& value)
{
    ChangePage page;
    page.since = json_uint64(value, "since");
    page.position = store_position_from_json(value["place"]);
    page.is_snapshot = json_bool(value, "whole");
    const Json::Value entries =
        value.isMember("packed")
            ? parse_json(unpack_text(json_string(value, "packed"), most_bytes))
            : value["entries"];
    page.entries = list_from_json(entries, change_from_json);
    return page;
}

Json::Value
to_json(const std::string& space, std::span<const PromptPart> parts)
{
    Json::Value value;
    value["space"] = space;
    value["parts"] = json_list(parts, part_to_json);
    return value;
}

std::vector<PromptPart>
parts_from_json(const Json::Value& value)
{
    return list_from_json(value["parts"], part_from_json);
}

KeptSpace
kept_space_from_json(const Json::Value& value)
{
    const auto space = KeptSpace::parse(json_string(value, "space"));
    if (!space)
        throw Error(ErrorCode::BadRequest, "no kept space");
    return *space;
}

Json::Value
to_json(const KeptAnswer& answer)
{
    Json::Value value;
    value["space"] = answer.space;
    value["clock"] = Json::UInt64(answer.clock);
    value["places"] = json_list(answer.places, place_to_json);
    return value;
}

KeptAnswer
kept_answer_from_json(const Json::Value& value)
{
    KeptAnswer answer;
    answer.space = json_string(value, "space");
    answer.clock = json_uint64(value, "clock");
    answer.places = list_from_json(value["places"], place_from_json);
    return answer;
}

} // namespace crosslink
