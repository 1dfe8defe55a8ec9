// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/claim/claim_slice.h>
#include <crosslink/ports/platform.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

/// Commits claims of all slices to the platform, many in one write. Correctness
/// depends on the compare-and-swap of a slice's head alone: whichever instance
/// commits, and however stale its view is, a key is granted at most once. Used
/// by one thread at a time.
class ClaimCommitter
{
public:
    /// `platform` must outlive the committer. Keys older than `age_limit`
    /// milliseconds are removed and refused.
    ClaimCommitter(Platform& platform, UnixMillis age_limit);

    /// Returns the verdict on each claim of `batch`, which must all belong to
    /// `slice`. Claims whose ids are in `releases` are released in the same
    /// write. Throws Error with ClaimUnavailable where the platform can't be
    /// reached, or where too many attempts are lost to other writers or have an
    /// unknown outcome; a claim may be committed nevertheless, and must not be
    /// dispatched.
    std::vector<ClaimVerdict> commit(std::uint32_t slice,
                                     std::span<const Claim> batch,
                                     std::span<const std::string> releases,
                                     UnixMillis now);

    /// Number of compare-and-swap writes sent so far.
    std::uint64_t writes() const { return m_writes; }
    /// Number of claims that this process holds in memory.
    std::size_t held() const;

private:
    using View = std::optional<ClaimSlice>;

    void reload(std::uint32_t slice);
    static std::vector<ClaimVerdict> verdicts_on(const ClaimSlice& view,
                                                 std::span<const Claim> batch);
    bool swap(std::uint32_t slice, const ClaimSlice::Proposal& proposal);
    void remove_unused_segments(std::uint32_t slice, const ClaimSlice& before,
                                const ClaimSlice& after);
    void remove_orphaned_segment(std::uint32_t slice,
                                 const ClaimSlice::Proposal& proposal,
                                 std::uint64_t expected);
    void remove_segment(std::uint32_t slice, const Digest& name);

    Platform& m_platform;
    const UnixMillis m_age_limit;
    std::array<View, claim_slices> m_views;
    std::uint64_t m_writes = 0;
};

} // namespace crosslink
