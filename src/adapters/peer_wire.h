// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/ports/peer.h>

#include <string_view>
#include <vector>

namespace crosslink::wire
{

/// Names of the calls between entry instances.
namespace peer_method
{
inline constexpr const char* gossip = "gossip";
inline constexpr const char* commit_claims = "commit_claims";
inline constexpr const char* answer_of = "answer_of";
inline constexpr const char* configuration_head = "configuration_head";
inline constexpr const char* configuration_part = "configuration_part";
inline constexpr const char* upstream_list = "upstream_list";
} // namespace peer_method

/// Header that carries the proof that the caller knows the fleet secret.
inline constexpr const char* peer_proof_header = "X-Crosslink-Fleet";
/// Path of the calls between entry instances.
inline constexpr const char* peer_path = "/peer";

Json::Value member_to_json(const Member& member);
Member member_from_json(const Json::Value& value);
Json::Value gossip_to_json(const GossipMessage& message);
GossipMessage gossip_from_json(const Json::Value& value);
Json::Value claims_to_json(std::span<const Claim> claims);
std::vector<Claim> claims_from_json(const Json::Value& value);
Json::Value verdicts_to_json(std::span<const ClaimVerdict> verdicts);
std::vector<ClaimVerdict> verdicts_from_json(const Json::Value& value);
/// Without the rows where `have` is the list's digest.
Json::Value list_to_json(const UpstreamList& list, const Digest& have);
UpstreamList list_from_json(const Json::Value& value);
Json::Value answer_to_json(const HeldAnswer& held);
HeldAnswer answer_from_json(const Json::Value& value);

} // namespace crosslink::wire
