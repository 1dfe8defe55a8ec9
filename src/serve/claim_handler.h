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

/// Decides claims for the requests of this instance, and for peers that take
/// it for the preferred one of a slice. One thread commits; it gathers
/// what waits into one write per slice.
class ClaimHandler
{
public:
    explicit ClaimHandler(InstanceState& state);
    ~ClaimHandler();
    ClaimHandler(const ClaimHandler&) = delete;
    ClaimHandler& operator=(const ClaimHandler&) = delete;

    /// Returns the verdict on `claim`, asking the preferred instance
    /// of its slice first and committing it here where that one can't be
    /// reached. Throws Error(ClaimUnavailable): the claim must then not be
    /// dispatched, and it is given back in case it was committed all the same.
    ClaimVerdict decide(const Claim& claim);
    /// Commits claims of one slice here.
    std::vector<ClaimVerdict> commit_locally(std::uint32_t slice,
                                             std::span<const Claim> claims);
    /// Gives a claim back that was never dispatched and never will be.
    void release(const Claim& claim);
    /// Returns the number of claims that this process knows.
    std::size_t held() const { return m_held; }

private:
    /// One claim that waits for the committing thread.
    struct PendingClaim {
        Claim claim;
        bool release = false;
        std::mutex mutex;
        std::condition_variable changed;
        bool done = false;
        bool abandoned = false; ///< Nobody waits for it any more.
        ClaimVerdict verdict;
        std::string failure; ///< Not empty: it could not be decided.
    };
    using PendingClaimPtr = std::shared_ptr<PendingClaim>;

    std::string preferred_instance(std::uint32_t slice);
    ClaimVerdict wait_for(PendingClaim& pending_claim);
    using Groups = std::map<std::uint32_t, std::vector<PendingClaimPtr>>;

    void process_queue();
    /// Commits the slices whose turn it is; returns when the next one's is.
    Micros commit_ready(Groups& groups);
    void commit(std::uint32_t slice, const std::vector<PendingClaimPtr>& group);
    void defer_releases(std::uint32_t slice, std::vector<std::string> releases);
    static void answer(PendingClaim& pending_claim, const ClaimVerdict& verdict,
                       const std::string& failure);

    InstanceState& m_state;
    ClaimCommitter m_committer;
    BoundedRing<PendingClaimPtr> m_queue;
    std::array<TokenBucket, claim_slices> m_write_limits;
    /// Ids to give back once the platform can be reached; of the committing
    /// thread alone.
    std::array<std::vector<std::string>, claim_slices> m_deferred_releases;
    std::atomic<std::size_t> m_held{0};
    std::thread m_thread;
};

} // namespace crosslink
