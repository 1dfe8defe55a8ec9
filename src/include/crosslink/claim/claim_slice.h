// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/claim/claim.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crosslink
{

/// Refers from the head of a slice to a full segment of older claims. A segment
/// is named by the SHA-256 of its text, so two writers that move claims out at
/// the same time can't overwrite each other's segment.
struct ClaimSegment {
    Digest name;
    UnixMillis newest_key_time = 0; ///< No claim in it has a later key time.

    bool operator==(const ClaimSegment&) const = default;
};

/// The record of a slice that all its writers update by compare-and-swap. It
/// holds the newest claims itself and refers to the segments that hold older
/// ones.
struct ClaimHead {
    /// Keys with an earlier time are refused permanently. Never decreases.
    UnixMillis floor = 0;
    std::vector<ClaimSegment> segments;
    std::vector<Claim> recent;
    std::vector<std::string> released; ///< Ids of released claims in segments.

    std::string to_json() const;
    static ClaimHead from_json(std::string_view text);
};

/// The claims of the segments of one slice, by segment name.
using ClaimSegments = std::map<Digest, std::vector<Claim>>;

/// Serializes the claims of a segment, and parses them.
std::string claims_to_json(std::span<const Claim> claims);
std::vector<Claim> claims_from_json(std::string_view text);

/// Number of slices that the keys are distributed over. Fixed for a deployment:
/// all instances must use the same number.
inline constexpr std::uint32_t claim_slices = 16;
/// Returns the slice of `key`.
std::uint32_t claim_slice_of(const Digest& key);
/// Returns the platform key of the head of a slice, and that of a segment.
std::string claim_head_key(std::uint32_t slice);
std::string claim_segment_key(std::uint32_t slice, const Digest& name);

/// Returns the digest that identifies a call for claims: calls with the same
/// account, service and idempotency key have the same one.
Digest claim_key(std::string_view account, std::string_view service,
                 std::string_view idempotency_key);

/// All claims of one slice, as committed at one version of its head. A plain
/// value: its decisions depend on nothing else.
class ClaimSlice
{
public:
    /// The change of the head that a batch requires.
    struct Proposal {
        ClaimHead head;
        /// Claims that move to the segment `moved_name`; empty if none do.
        std::vector<Claim> moved;
        Digest moved_name;
        bool changed = false; ///< False: the verdicts hold without a write.
    };

    /// An empty slice, at version 0 of its head.
    ClaimSlice() = default;
    /// The slice at `version` of `head`, with the claims of its segments.
    ClaimSlice(std::uint64_t version, ClaimHead head, ClaimSegments segments);

    std::uint64_t version() const { return m_version; }
    const ClaimHead& head() const { return m_head; }
    const ClaimSegments& segments() const { return m_segments; }
    std::size_t size() const { return m_by_key.size(); }

    /// Returns the verdict on `claim` in the present state; a claim that is
    /// neither in the slice nor too old is Held with an empty holder.
    ClaimVerdict verdict(const Claim& claim) const;
    /// Returns whether the key is neither in the slice nor too old, so that the
    /// claim can be granted.
    bool can_grant(const Claim& claim) const;

    /// Returns whether a claim with this id is in the slice.
    bool holds_id(std::string_view id) const;

    /// Returns the head to write so that every claim of the batch that can be
    /// granted is added and every id of `releases` is released. `now` raises
    /// the floor: keys older than `age_limit` are dropped, and refused from
    /// then on.
    Proposal propose(std::span<const Claim> batch,
                     std::span<const std::string> releases, UnixMillis now,
                     UnixMillis age_limit) const;
    /// Returns the slice after `proposal` was written as `version` of the head.
    ClaimSlice after(const Proposal& proposal, std::uint64_t version) const;

private:
    void index();
    /// Removes released ids that are in no segment any more.
    void prune_released(ClaimHead& head) const;

    std::uint64_t m_version = 0;
    ClaimHead m_head;
    ClaimSegments m_segments;
    std::unordered_map<Digest, Claim> m_by_key;
    UnixMillis m_newest_key_time = 0;
};

} // namespace crosslink
