// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "peer_wire.h"

#include "wire.h"

#include <crosslink/base/error.h>

namespace crosslink::wire
{

namespace
{

template<typename Enum>
Enum
enum_from_json(const Json::Value& value, const char* name, Enum last)
{
    const std::uint64_t number = json_number(value, name);
    if (number > static_cast<std::uint64_t>(last))
        throw Error(ErrorCode::BadRequest, "a state out of range");
    return static_cast<Enum>(number);
}

} // namespace

Json::Value
member_to_json(const Member& member)
{
    Json::Value value;
    value["id"] = member.id;
    value["address"] = member.address;
    value["zone"] = member.zone;
    value["incarnation"] = Json::UInt64(member.incarnation);
    value["state"] = static_cast<unsigned>(member.state);
    value["revision"] = Json::UInt64(member.revision);
    return value;
}

Member
member_from_json(const Json::Value& value)
{
    Member member;
    member.id = json_string(value, "id");
    member.address = json_string(value, "address");
    member.zone = json_string(value, "zone");
    member.incarnation = json_number(value, "incarnation");
    member.state = enum_from_json(value, "state", MemberState::Dead);
    member.revision = json_number(value, "revision");
    return member;
}

Json::Value
gossip_to_json(const GossipMessage& message)
{
    Json::Value value;
    value["sender"] = member_to_json(message.sender);
    value["news"] = Json::Value(Json::arrayValue);
    for (const Member& member : message.news)
        value["news"].append(member_to_json(member));
    value["marks"] = Json::Value(Json::arrayValue);
    for (const UpstreamMark& mark : message.marks) {
        Json::Value item;
        item["upstream"] = mark.upstream;
        item["expires_in_ms"] = Json::UInt64(mark.expires_in_ms);
        value["marks"].append(item);
    }
    return value;
}

GossipMessage
gossip_from_json(const Json::Value& value)
{
    GossipMessage message;
    message.sender = member_from_json(value["sender"]);
    for (const Json::Value& item : value["news"])
        message.news.push_back(member_from_json(item));
    for (const Json::Value& item : value["marks"])
        message.marks.push_back({json_string(item, "upstream"),
                                 json_number(item, "expires_in_ms")});
    return message;
}

Json::Value
claims_to_json(std::span<const Claim> claims)
{
    Json::Value value(Json::arrayValue);
    for (const Claim& claim : claims) {
        Json::Value item;
        item["key"] = claim.key.hex();
        item["id"] = claim.id;
        item["holder"] = claim.holder;
        item["key_time"] = Json::UInt64(claim.key_time);
        value.append(item);
    }
    return value;
}

std::vector<Claim>
claims_from_json(const Json::Value& value)
{
    std::vector<Claim> claims;
    for (const Json::Value& item : value)
        claims.push_back({Digest::from_hex(json_string(item, "key")),
                          json_string(item, "id"), json_string(item, "holder"),
                          json_number(item, "key_time")});
    return claims;
}

Json::Value
verdicts_to_json(std::span<const ClaimVerdict> verdicts)
{
    Json::Value value(Json::arrayValue);
    for (const ClaimVerdict& verdict : verdicts) {
        Json::Value item;
        item["kind"] = static_cast<unsigned>(verdict.kind);
        item["holder"] = verdict.holder;
        value.append(item);
    }
    return value;
}

std::vector<ClaimVerdict>
verdicts_from_json(const Json::Value& value)
{
    std::vector<ClaimVerdict> verdicts;
    for (const Json::Value& item : value)
        verdicts.push_back(
            {enum_from_json(item, "kind", ClaimVerdict::Kind::Expired),
             json_string(item, "holder")});
    return verdicts;
}

Json::Value
list_to_json(const UpstreamList& list, const Digest& have)
{
    Json::Value value;
    value["digest"] = list.digest.hex();
    value["age_ms"] = Json::UInt64(list.age.count() / 1000);
    value["upstreams"] = Json::Value(Json::arrayValue);
    if (have != list.digest)
        for (const ListedInstance& instance : list.upstreams)
            value["upstreams"].append(instance_to_json(instance));
    return value;
}

UpstreamList
list_from_json(const Json::Value& value)
{
    UpstreamList list;
    list.digest = Digest::from_hex(json_string(value, "digest"));
    list.age = std::chrono::milliseconds(json_number(value, "age_ms"));
    for (const Json::Value& item : value["upstreams"])
        list.upstreams.push_back(instance_from_json(item));
    return list;
}

Json::Value
answer_to_json(const HeldAnswer& held)
{
    Json::Value value;
    value["state"] = static_cast<unsigned>(held.state);
    value["fingerprint"] = held.fingerprint.hex();
    value["status"] = held.answer.status;
    value["content_type"] = held.answer.content_type;
    value["body"] = held.answer.body;
    return value;
}

HeldAnswer
answer_from_json(const Json::Value& value)
{
    HeldAnswer held;
    held.state = enum_from_json(value, "state", HeldAnswer::State::Finished);
    held.fingerprint = Digest::from_hex(json_string(value, "fingerprint"));
    held.answer.status = static_cast<int>(json_number(value, "status"));
    held.answer.content_type = json_string(value, "content_type");
    held.answer.body = json_string(value, "body");
    return held;
}

} // namespace crosslink::wire
