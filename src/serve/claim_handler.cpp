// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "claim_handler.h"

#include <adapters/clock.h>
#include <crosslink/base/error.h>
#include <crosslink/membership/rendezvous.h>
#include <crosslink/ports/peer.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

constexpr std::size_t queue_capacity = 4096;
/// Writes per second that the claims of the whole fleet may use. The platform
/// allows a hundred; the rest is for operators, who have precedence.
constexpr double fleet_writes_per_second = 60;
constexpr double writes_per_slice = fleet_writes_per_second / claim_slices;
constexpr double write_burst = 4;
/// How long the committing thread waits for claims where none are pending.
constexpr Micros idle_wait = std::chrono::seconds(1);
constexpr Micros max_wait = std::chrono::seconds(3);
constexpr Micros retry_delay = std::chrono::seconds(1);

Error
unavailable(const std::string& why)
{
    return Error(ErrorCode::ClaimUnavailable, why, RunState::NotDispatched,
                 retry_delay);
}

} // namespace

ClaimHandler::ClaimHandler(InstanceState& state)
    : m_state(state),
      m_committer(state.clients.platform(), state.settings.claim_age_ms),
      m_queue(queue_capacity), m_thread([this] { process_queue(); })
{
}

ClaimHandler::~ClaimHandler()
{
    m_queue.close();
    m_thread.join();
}

std::string
ClaimHandler::preferred_instance(std::uint32_t slice)
{
    std::vector<std::string> addresses;
    for (const Member& member :
         m_state.members.with([](MemberTable& table) { return table.live(); }))
        addresses.push_back(member.address);
    return rendezvous_order("claims/" + std::to_string(slice), addresses)
        .front();
}

ClaimVerdict
ClaimHandler::decide(const Claim& claim)
{
    const std::uint32_t slice = claim_slice_of(claim.key);
    const std::string address = preferred_instance(slice);
    const std::span<const Claim> one(&claim, 1);
    if (address != m_state.self_address()) {
        try {
            return m_state.clients.peer(address)
                ->commit_claims(slice, one)
                .front();
        } catch (const Error& failure) {
            // The preferred instance only makes the decision cheaper. Where it
            // fails, the claim is committed here under the same id, and the
            // platform alone decides it.
            spdlog::info("claim slice={} peer={} failed: {}", slice, address,
                         failure.what());
        }
    }
    try {
        return commit_locally(slice, one).front();
    } catch (const Error&) {
        release(claim);
        throw;
    }
}

std::vector<ClaimVerdict>
ClaimHandler::commit_locally(std::uint32_t slice, std::span<const Claim> claims)
{
    std::vector<PendingClaimPtr> all;
    for (const Claim& claim : claims) {
        if (claim_slice_of(claim.key) != slice)
            throw Error(ErrorCode::BadRequest, "a claim of another slice");
        all.push_back(std::make_shared<PendingClaim>());
        all.back()->claim = claim;
        if (!m_queue.push(all.back()))
            throw unavailable("too many claims wait");
    }
    std::vector<ClaimVerdict> verdicts;
    verdicts.reserve(all.size());
    for (const PendingClaimPtr& pending_claim : all)
        verdicts.push_back(wait_for(*pending_claim));
    return verdicts;
}

void
ClaimHandler::release(const Claim& claim)
{
    const auto pending_claim = std::make_shared<PendingClaim>();
    pending_claim->claim = claim;
    pending_claim->release = true;
    if (!m_queue.push(pending_claim))
        spdlog::warn(
            "claim={} could not be released: the queue is full or closed",
            claim.id);
}

ClaimVerdict
ClaimHandler::wait_for(PendingClaim& pending_claim)
{
    std::unique_lock lock(pending_claim.mutex);
    const bool done = pending_claim.changed.wait_for(
        lock, max_wait, [&pending_claim] { return pending_claim.done; });
    if (!done) {
        pending_claim.abandoned = true;
        throw unavailable("the claim was not decided in time");
    }
    if (!pending_claim.failure.empty())
        throw unavailable(pending_claim.failure);
    return pending_claim.verdict;
}

void
ClaimHandler::answer(PendingClaim& pending_claim, const ClaimVerdict& verdict,
                     const std::string& failure)
{
    {
        const std::lock_guard lock(pending_claim.mutex);
        pending_claim.done = true;
        pending_claim.verdict = verdict;
        pending_claim.failure = failure;
    }
    pending_claim.changed.notify_all();
}

void
ClaimHandler::process_queue()
{
    Groups groups;
    Micros wait = idle_wait;
    while (!m_queue.ended()) {
        for (auto next = m_queue.pop_for(wait); next; next = m_queue.try_pop())
            groups[claim_slice_of((*next)->claim.key)].push_back(*next);
        wait = commit_ready(groups);
    }
    for (const auto& [slice, group] : groups)
        for (const PendingClaimPtr& pending_claim : group)
            answer(*pending_claim, {}, "this instance stops");
}

Micros
ClaimHandler::commit_ready(Groups& groups)
{
    Micros wait = idle_wait;
    for (auto at = groups.begin(); at != groups.end();) {
        const auto& [slice, group] = *at;
        TokenBucket& bucket = m_write_limits.at(slice);
        if (bucket.take(1, writes_per_slice, write_burst, monotonic_now())) {
            commit(slice, group);
            at = groups.erase(at);
            continue;
        }
        // The write limit of this slice is used up; the others go on.
        wait =
            std::min(wait, bucket.wait_for(1, writes_per_slice, write_burst) +
                               Micros(1));
        ++at;
    }
    return wait;
}

void
ClaimHandler::defer_releases(std::uint32_t slice,
                             std::vector<std::string> releases)
{
    constexpr std::size_t max_deferred = 4096;
    if (releases.size() > max_deferred)
        releases.resize(max_deferred);
    m_deferred_releases.at(slice) = std::move(releases);
}

void
ClaimHandler::commit(std::uint32_t slice,
                     const std::vector<PendingClaimPtr>& group)
{
    std::vector<Claim> batch;
    std::vector<PendingClaimPtr> pending;
    std::vector<std::string> releases =
        std::exchange(m_deferred_releases.at(slice), {});
    for (const PendingClaimPtr& pending_claim : group) {
        const std::lock_guard lock(pending_claim->mutex);
        if (pending_claim->release) {
            releases.push_back(pending_claim->claim.id);
        } else if (!pending_claim->abandoned) {
            batch.push_back(pending_claim->claim);
            pending.push_back(pending_claim);
        }
    }
    const std::uint64_t before = m_committer.writes();
    try {
        const auto verdicts =
            m_committer.commit(slice, batch, releases, unix_now());
        // A claim whose requester timed out is not released here: only its
        // holder knows that the call is not dispatched, and releases it.
        for (std::size_t i = 0; i < pending.size(); ++i)
            answer(*pending[i], verdicts[i], {});
    } catch (const Error& failure) {
        for (const PendingClaimPtr& pending_claim : pending)
            answer(*pending_claim, {}, failure.what());
        defer_releases(slice, std::move(releases));
    }
    m_state.metrics.claim_writes += m_committer.writes() - before;
    m_claim_count = m_committer.held();
}

} // namespace crosslink
