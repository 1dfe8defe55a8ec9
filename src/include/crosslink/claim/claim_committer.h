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

/// Commits claims of all slices to the platform, many in one write. Safety
/// rests on the compare-and-swap of a slice's head alone: whoever commits, and
/// whatever it believed before, a key is taken at most once. Used by one
/// thread at a time.
class ClaimCommitter
{
public:
    /// `platform` must outlive the committer. Keys older than `age_limit`
    /// milliseconds are cleared away and refused.
    ClaimCommitter(Platform& platform, UnixMillis age_limit);

    /// Returns the verdict on each claim of `batch`, all of `slice`. Ids in
    /// `releases` are given back in the same write. Throws Error with
    /// ClaimUnavailable where the platform can't be reached or answers
    /// unclearly too often; a claim may then be committed all the same, and
    /// must not be dispatched.
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
    void remove_dropped(std::uint32_t slice, const ClaimSlice& before,
                        const ClaimSlice& after);
    void remove_orphan(std::uint32_t slice,
                       const ClaimSlice::Proposal& proposal,
                       std::uint64_t expected);
    void remove_segment(std::uint32_t slice, const Digest& name);

    Platform& m_platform;
    const UnixMillis m_age_limit;
    std::array<View, claim_slices> m_views;
    std::uint64_t m_writes = 0;
};

} // namespace crosslink
