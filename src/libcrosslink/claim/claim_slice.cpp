// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/base/json.h>
#include <crosslink/claim/claim_slice.h>

#include <algorithm>
#include <set>

namespace crosslink
{

namespace
{

/// The head is written at every commit, so it is kept small: once it holds more
/// claims than this, they move to a segment.
constexpr std::size_t max_recent = 512;
constexpr std::string_view key_separator{"\0", 1};

Json::Value
claim_to_value(const Claim& claim)
{
    Json::Value value(Json::arrayValue);
    value.append(claim.key.hex());
    value.append(claim.id);
    value.append(claim.holder);
    value.append(Json::UInt64(claim.key_time));
    return value;
}

Claim
claim_from_value(const Json::Value& value)
{
    constexpr Json::ArrayIndex fields = 4;
    if (!value.isArray() || value.size() != fields)
        throw Error(ErrorCode::Internal, "a claim record has four fields");
    Claim claim;
    claim.key = Digest::from_hex(value[0].asString());
    claim.id = value[1].asString();
    claim.holder = value[2].asString();
    claim.key_time = value[3].asUInt64();
    return claim;
}

Json::Value
claims_to_value(std::span<const Claim> claims)
{
    return json_list(claims, claim_to_value);
}

std::vector<Claim>
claims_from_value(const Json::Value& value)
{
    return list_from_json(value, claim_from_value);
}

/// A segment is written as [name, newest key time].
Json::Value
segment_to_value(const ClaimSegment& segment)
{
    Json::Value value(Json::arrayValue);
    value.append(segment.name.hex());
    value.append(Json::UInt64(segment.newest_key_time));
    return value;
}

ClaimSegment
segment_from_value(const Json::Value& value)
{
    return {Digest::from_hex(value[0].asString()), value[1].asUInt64()};
}

/// Raises the floor of `head` and drops what lies entirely below it.
void
raise_floor(ClaimHead& head, UnixMillis floor)
{
    if (floor <= head.floor)
        return;
    head.floor = floor;
    std::erase_if(head.recent, [floor](const Claim& claim) {
        return claim.key_time < floor;
    });
    std::erase_if(head.segments, [floor](const ClaimSegment& segment) {
        return segment.newest_key_time < floor;
    });
}

UnixMillis
newest_of(std::span<const Claim> claims)
{
    UnixMillis newest = 0;
    for (const Claim& claim : claims)
        newest = std::max(newest, claim.key_time);
    return newest;
}

} // namespace

std::string
ClaimHead::to_json() const
{
    Json::Value value;
    value["floor"] = Json::UInt64(floor);
    value["segments"] = json_list(segments, segment_to_value);
    value["recent"] = claims_to_value(recent);
    value["released"] = json_strings(released);
    return json_text(value);
}

ClaimHead
ClaimHead::from_json(std::string_view text)
{
    const Json::Value value = parse_json(text);
    ClaimHead head;
    head.floor = json_uint64(value, "floor");
    head.segments = list_from_json(value["segments"], segment_from_value);
    head.recent = claims_from_value(value["recent"]);
    head.released = strings_from_json(value["released"]);
    return head;
}

std::string
claims_to_json(std::span<const Claim> claims)
{
    return json_text(claims_to_value(claims));
}

std::vector<Claim>
claims_from_json(std::string_view text)
{
    return claims_from_value(parse_json(text));
}

std::uint32_t
claim_slice_of(const Digest& key)
{
    return static_cast<std::uint32_t>(key.prefix() % claim_slices);
}

std::string
claim_head_key(std::uint32_t slice)
{
    return "crosslink/claims/" + std::to_string(slice) + "/head";
}

std::string
claim_segment_key(std::uint32_t slice, const Digest& name)
{
    return "crosslink/claims/" + std::to_string(slice) + "/segment/" +
           name.hex();
}

Digest
claim_key(std::string_view account, std::string_view service,
          std::string_view idempotency_key)
{
    std::string text(account);
    text += key_separator;
    text += service;
    text += key_separator;
    text += idempotency_key;
    return sha256(text);
}

ClaimSlice::ClaimSlice(std::uint64_t version, ClaimHead head,
                       ClaimSegments segments)
    : m_version(version), m_head(std::move(head)),
      m_segments(std::move(segments))
{
    index();
}

void
ClaimSlice::index()
{
    const std::set<std::string> released(m_head.released.begin(),
                                         m_head.released.end());
    m_by_key.clear();
    m_newest_key_time = newest_of(m_head.recent);
    for (const ClaimSegment& segment : m_head.segments) {
        m_newest_key_time =
            std::max(m_newest_key_time, segment.newest_key_time);
        for (const Claim& claim : m_segments.at(segment.name))
            if (!released.contains(claim.id))
                m_by_key.emplace(claim.key, claim);
    }
    for (const Claim& claim : m_head.recent)
        m_by_key.emplace(claim.key, claim);
}

void
ClaimSlice::prune_released(ClaimHead& head) const
{
    if (head.released.empty())
        return;
    std::set<std::string> present;
    for (const ClaimSegment& segment : head.segments)
        for (const Claim& claim : m_segments.at(segment.name))
            present.insert(claim.id);
    std::erase_if(head.released, [&present](const std::string& id) {
        return !present.contains(id);
    });
}

ClaimVerdict
ClaimSlice::verdict(const Claim& claim) const
{
    const auto found = m_by_key.find(claim.key);
    if (found != m_by_key.end() && found->second.id == claim.id)
        return {ClaimVerdict::Kind::Granted, found->second.holder};
    if (claim.key_time < m_head.floor)
        return {ClaimVerdict::Kind::Expired, {}};
    if (found != m_by_key.end())
        return {ClaimVerdict::Kind::Held, found->second.holder};
    return {ClaimVerdict::Kind::Held, {}};
}

bool
ClaimSlice::holds_id(std::string_view id) const
{
    return std::any_of(m_by_key.begin(), m_by_key.end(),
                       [id](const auto& item) { return item.second.id == id; });
}

bool
ClaimSlice::can_grant(const Claim& claim) const
{
    return claim.key_time >= m_head.floor && !m_by_key.contains(claim.key);
}

ClaimSlice::Proposal
ClaimSlice::propose(std::span<const Claim> batch,
                    std::span<const std::string> releases, UnixMillis now,
                    UnixMillis age_limit) const
{
    Proposal proposal;
    proposal.head = m_head;
    ClaimHead& head = proposal.head;
    std::set<Digest> granted;
    for (const Claim& claim : batch) {
        if (!can_grant(claim) || !granted.insert(claim.key).second)
            continue;
        head.recent.push_back(claim);
        proposal.changed = true;
    }
    for (const std::string& id : releases) {
        if (!holds_id(id))
            continue;
        const auto removed = std::erase_if(
            head.recent, [&id](const Claim& claim) { return claim.id == id; });
        if (removed == 0)
            head.released.push_back(id);
        proposal.changed = true;
    }
    if (!proposal.changed)
        return proposal;
    // A clock that jumps ahead must not make the floor refuse every key: the
    // floor stays at least the age limit behind the newest key.
    const UnixMillis newest =
        std::max(m_newest_key_time, newest_of(head.recent));
    const UnixMillis reference = std::min(now, newest);
    if (reference > age_limit)
        raise_floor(head, reference - age_limit);
    prune_released(head);
    if (head.recent.size() > max_recent) {
        proposal.moved = std::move(head.recent);
        proposal.moved_name = sha256(claims_to_json(proposal.moved));
        head.recent.clear();
        head.segments.push_back(
            {proposal.moved_name, newest_of(proposal.moved)});
    }
    return proposal;
}

ClaimSlice
ClaimSlice::after(const Proposal& proposal, std::uint64_t version) const
{
    ClaimSegments segments;
    for (const ClaimSegment& segment : proposal.head.segments) {
        const auto found = m_segments.find(segment.name);
        segments[segment.name] =
            found == m_segments.end() ? proposal.moved : found->second;
    }
    return ClaimSlice(version, proposal.head, std::move(segments));
}

} // namespace crosslink
