// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "instance_state.h"

#include <crosslink/admit/token_bucket.h>
#include <crosslink/base/bounded_ring.h>
#include <crosslink/claim/claim.h>
#include <crosslink/claim/claim_committer.h>

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace crosslink
{

/// Decides claims for the requests of this instance, and for peers that regard
/// this instance as the preferred one of a slice. One thread commits; it
/// batches the pending claims of a slice into one write.
class ClaimHandler
{
public:
    explicit ClaimHandler(InstanceState& state);
    ~ClaimHandler();
    ClaimHandler(const ClaimHandler&) = delete;
    ClaimHandler& operator=(const ClaimHandler&) = delete;

    /// Returns the verdict on `claim`. Asks the preferred instance of the
    /// claim's slice first, and commits the claim in this process where that
    /// instance can't be reached. Throws Error(ClaimUnavailable): the call must
    /// then not be dispatched; the claim is released in case it was committed
    /// nevertheless.
    ClaimVerdict decide(const Claim& claim);
    /// Commits claims of one slice in this process. Throws Error with
    /// BadRequest for a claim of another slice, or ClaimUnavailable.
    std::vector<ClaimVerdict> commit_locally(std::uint32_t slice,
                                             std::span<const Claim> claims);
    /// Releases a claim whose call was not dispatched and never will be. Does
    /// not wait for the release to be committed.
    void release(const Claim& claim);
    /// Returns the number of claims that this process holds in memory.
    std::size_t claim_count() const { return m_claim_count; }

private:
    /// One claim or release that is queued for the committing thread.
    struct PendingClaim {
        Claim claim;
        bool release = false;
        std::mutex mutex;
        std::condition_variable changed;
        bool done = false;
        bool abandoned = false; ///< The requester timed out.
        ClaimVerdict verdict;
        std::string failure; ///< Why it was not decided; else empty.
    };
    using PendingClaimPtr = std::shared_ptr<PendingClaim>;

    std::string preferred_instance(std::uint32_t slice);
    ClaimVerdict wait_for(PendingClaim& pending_claim);
    using Groups = std::map<std::uint32_t, std::vector<PendingClaimPtr>>;

    void process_queue();
    /// Commits the slices that their write limits allow now. Returns how long
    /// to wait until the next slice may be committed.
    Micros commit_ready(Groups& groups);
    void commit(std::uint32_t slice, const std::vector<PendingClaimPtr>& group);
    void defer_releases(std::uint32_t slice, std::vector<std::string> releases);
    static void answer(PendingClaim& pending_claim, const ClaimVerdict& verdict,
                       const std::string& failure);

    InstanceState& m_state;
    ClaimCommitter m_committer;
    BoundedRing<PendingClaimPtr> m_queue;
    std::array<TokenBucket, claim_slices> m_write_limits;
    /// Ids to release once the platform can be reached, by slice. Used by the
    /// committing thread alone.
    std::array<std::vector<std::string>, claim_slices> m_deferred_releases;
    std::atomic<std::size_t> m_claim_count{0};
    std::thread m_thread;
};

} // namespace crosslink
