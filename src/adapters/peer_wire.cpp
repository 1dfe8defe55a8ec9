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
    const std::uint64_t number = json_uint64(value, name);
    if (number > static_cast<std::uint64_t>(last))
        throw Error(ErrorCode::BadRequest, "a state out of range");
    return static_cast<Enum>(number);
}

Json::Value
mark_to_json(const LeavingMark& mark)
{
    Json::Value value;
    value["upstream"] = mark.upstream;
    value["expires_in_ms"] = Json::UInt64(mark.expires_in_ms);
    return value;
}

LeavingMark
mark_from_json(const Json::Value& value)
{
    return {json_string(value, "upstream"),
            json_uint64(value, "expires_in_ms")};
}

Json::Value
claim_to_json(const Claim& claim)
{
    Json::Value value;
    value["key"] = claim.key.hex();
    value["id"] = claim.id;
    value["holder"] = claim.holder;
    value["key_time"] = Json::UInt64(claim.key_time);
    return value;
}

Claim
claim_from_json(const Json::Value& value)
{
    return {Digest::from_hex(json_string(value, "key")),
            json_string(value, "id"), json_string(value, "holder"),
            json_uint64(value, "key_time")};
}

Json::Value
verdict_to_json(const ClaimVerdict& verdict)
{
    Json::Value value;
    value["kind"] = static_cast<unsigned>(verdict.kind);
    value["holder"] = verdict.holder;
    return value;
}

ClaimVerdict
verdict_from_json(const Json::Value& value)
{
    return {enum_from_json(value, "kind", ClaimVerdict::Kind::Expired),
            json_string(value, "holder")};
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
    member.incarnation = json_uint64(value, "incarnation");
    member.state = enum_from_json(value, "state", MemberState::Dead);
    member.revision = json_uint64(value, "revision");
    return member;
}

Json::Value
gossip_to_json(const GossipMessage& message)
{
    Json::Value value;
    value["sender"] = member_to_json(message.sender);
    value["news"] = json_list(message.news, member_to_json);
    value["marks"] = json_list(message.marks, mark_to_json);
    return value;
}

GossipMessage
gossip_from_json(const Json::Value& value)
{
    GossipMessage message;
    message.sender = member_from_json(value["sender"]);
    message.news = list_from_json(value["news"], member_from_json);
    message.marks = list_from_json(value["marks"], mark_from_json);
    return message;
}

Json::Value
claims_to_json(std::span<const Claim> claims)
{
    return json_list(claims, claim_to_json);
}

std::vector<Claim>
claims_from_json(const Json::Value& value)
{
    return list_from_json(value, claim_from_json);
}

Json::Value
verdicts_to_json(std::span<const ClaimVerdict> verdicts)
{
    return json_list(verdicts, verdict_to_json);
}

std::vector<ClaimVerdict>
verdicts_from_json(const Json::Value& value)
{
    return list_from_json(value, verdict_from_json);
}

Json::Value
list_to_json(const UpstreamList& list, const Digest& have)
{
    Json::Value value;
    value["digest"] = list.digest.hex();
    value["age_ms"] = Json::UInt64(list.age.count() / 1000);
    value["upstreams"] = have == list.digest
                             ? Json::Value(Json::arrayValue)
                             : json_list(list.upstreams, instance_to_json);
    return value;
}

UpstreamList
list_from_json(const Json::Value& value)
{
    UpstreamList list;
    list.digest = Digest::from_hex(json_string(value, "digest"));
    list.age = std::chrono::milliseconds(json_uint64(value, "age_ms"));
    list.upstreams = list_from_json(value["upstreams"], instance_from_json);
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
    held.answer.status = static_cast<int>(json_uint64(value, "status"));
    held.answer.content_type = json_string(value, "content_type");
    held.answer.body = json_string(value, "body");
    return held;
}

} // namespace crosslink::wire
