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

/// A full segment of older claims that the head of a slice refers to. It is
/// named by the SHA-256 of its text, so that two writers that race to move
/// claims out can never overwrite each other's segment.
struct ClaimSegment {
    Digest name;
    UnixMillis newest_key_time = 0; ///< All claims in it are this old or older.

    bool operator==(const ClaimSegment&) const = default;
};

/// The record on which all writers of one slice compare and swap. It holds
/// the newest claims itself and names the segments that hold older ones.
struct ClaimHead {
    /// Keys older than this are refused for ever. It only grows.
    UnixMillis floor = 0;
    std::vector<ClaimSegment> segments;
    std::vector<Claim> recent;
    std::vector<std::string> released; ///< Ids given back, of older segments.

    std::string to_json() const;
    static ClaimHead from_json(std::string_view text);
};

/// The claims of the segments of one slice, by segment name.
using ClaimSegments = std::map<Digest, std::vector<Claim>>;

/// Returns the text of a segment, and reads one.
std::string claims_to_json(std::span<const Claim> claims);
std::vector<Claim> claims_from_json(std::string_view text);

/// Number of slices that the keys are spread over. Fixed for a deployment:
/// all instances must agree.
inline constexpr std::uint32_t claim_slices = 16;
/// Returns the slice of `key`.
std::uint32_t claim_slice_of(const Digest& key);
/// Returns the platform key of a slice's head and of one of its segments.
std::string claim_head_key(std::uint32_t slice);
std::string claim_segment_key(std::uint32_t slice, const Digest& name);

/// Returns the digest that names a call for claims: same account, same
/// service and same idempotency key.
Digest claim_key(std::string_view account, std::string_view service,
                 std::string_view idempotency_key);

/// All claims of one slice, as committed at one version of its head. It is a
/// plain value: what it decides depends on nothing else.
class ClaimSlice
{
public:
    /// The change of the head that a batch asks for.
    struct Proposal {
        ClaimHead head;
        /// Claims that move out into the segment `moved_name`; empty: none.
        std::vector<Claim> moved;
        Digest moved_name;
        bool changed = false; ///< False: the verdicts stand without a write.
    };

    /// An empty slice, at version 0 of its head.
    ClaimSlice() = default;
    /// The slice at `version` of `head`, with the claims of its segments.
    ClaimSlice(std::uint64_t version, ClaimHead head, ClaimSegments segments);

    std::uint64_t version() const { return m_version; }
    const ClaimHead& head() const { return m_head; }
    const ClaimSegments& segments() const { return m_segments; }
    std::size_t size() const { return m_by_key.size(); }

    /// Returns what the slice says of `claim` as it stands; a claim that is
    /// not in it and not too old is Held with an empty holder.
    ClaimVerdict verdict(const Claim& claim) const;
    /// True where the slice holds nothing of the key and would take it.
    bool would_take(const Claim& claim) const;

    /// True where the claim with this id is in the slice.
    bool holds_id(std::string_view id) const;

    /// Returns the head to swap in so that every claim of the batch that can
    /// be taken is, and every id of `releases` is given back. `now` moves the
    /// floor: keys older than `age_limit` are dropped and refused from then.
    Proposal propose(std::span<const Claim> batch,
                     std::span<const std::string> releases, UnixMillis now,
                     UnixMillis age_limit) const;
    /// Returns the slice after `proposal` was swapped in at `version`.
    ClaimSlice after(const Proposal& proposal, std::uint64_t version) const;

private:
    void index();
    /// Forgets the given-back ids that no segment holds any more.
    void prune_released(ClaimHead& head) const;

    std::uint64_t m_version = 0;
    ClaimHead m_head;
    ClaimSegments m_segments;
    std::unordered_map<Digest, Claim> m_by_key;
    UnixMillis m_newest_key_time = 0;
};

} // namespace crosslink
