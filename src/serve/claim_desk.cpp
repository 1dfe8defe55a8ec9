// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "claim_desk.h"

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

constexpr std::size_t ring_capacity = 4096;
/// Writes a second that all claims of the fleet may take of the platform's
/// hundred; the rest is for operators, who go first.
constexpr double fleet_writes_per_second = 60;
constexpr double writes_per_slice = fleet_writes_per_second / claim_slices;
constexpr double write_burst = 4;
/// How long the committing thread sleeps where nothing waits.
constexpr Micros idle_wait = std::chrono::seconds(1);
constexpr Micros longest_wait = std::chrono::seconds(3);
constexpr Micros come_back = std::chrono::seconds(1);

Error
unavailable(const std::string& why)
{
    return Error(ErrorCode::ClaimUnavailable, why, RunState::NotDispatched,
                 come_back);
}

} // namespace

ClaimDesk::ClaimDesk(InstanceState& state)
    : m_state(state),
      m_committer(state.clients.platform(), state.settings.claim_age_ms),
      m_ring(ring_capacity), m_thread([this] { work(); })
{
}

ClaimDesk::~ClaimDesk()
{
    m_ring.close();
    m_thread.join();
}

std::string
ClaimDesk::preferred(std::uint32_t slice)
{
    std::vector<std::string> addresses;
    for (const Member& member :
         m_state.members.with([](MemberTable& table) { return table.live(); }))
        addresses.push_back(member.address);
    return rendezvous_order("claims/" + std::to_string(slice), addresses)
        .front();
}

ClaimVerdict
ClaimDesk::decide(const Claim& claim)
{
    const std::uint32_t slice = claim_slice_of(claim.key);
    const std::string address = preferred(slice);
    const std::span<const Claim> one(&claim, 1);
    if (address != m_state.self_address()) {
        try {
            return m_state.clients.peer(address)
                ->commit_claims(slice, one)
                .front();
        } catch (const Error& failure) {
            // The preferred instance only makes it cheap. Asked again here,
            // under the same id, the claim is decided by the platform alone.
            spdlog::info("claim slice={} peer={} failed: {}", slice, address,
                         failure.what());
        }
    }
    try {
        return commit_here(slice, one).front();
    } catch (const Error&) {
        give_back(claim);
        throw;
    }
}

std::vector<ClaimVerdict>
ClaimDesk::commit_here(std::uint32_t slice, std::span<const Claim> claims)
{
    std::vector<WaitingPointer> all;
    for (const Claim& claim : claims) {
        if (claim_slice_of(claim.key) != slice)
            throw Error(ErrorCode::BadRequest, "a claim of another slice");
        all.push_back(std::make_shared<Waiting>());
        all.back()->claim = claim;
        if (!m_ring.push(all.back()))
            throw unavailable("too many claims wait");
    }
    std::vector<ClaimVerdict> verdicts;
    verdicts.reserve(all.size());
    for (const WaitingPointer& waiting : all)
        verdicts.push_back(wait_for(*waiting));
    return verdicts;
}

void
ClaimDesk::give_back(const Claim& claim)
{
    const auto waiting = std::make_shared<Waiting>();
    waiting->claim = claim;
    waiting->release = true;
    if (!m_ring.push(waiting))
        spdlog::warn("claim={} could not be given back", claim.id);
}

ClaimVerdict
ClaimDesk::wait_for(Waiting& waiting)
{
    std::unique_lock lock(waiting.mutex);
    const bool done = waiting.changed.wait_for(
        lock, longest_wait, [&waiting] { return waiting.done; });
    if (!done) {
        waiting.abandoned = true;
        throw unavailable("the claim was not decided in time");
    }
    if (!waiting.failure.empty())
        throw unavailable(waiting.failure);
    return waiting.verdict;
}

void
ClaimDesk::answer(Waiting& waiting, const ClaimVerdict& verdict,
                  const std::string& failure)
{
    {
        const std::lock_guard lock(waiting.mutex);
        waiting.done = true;
        waiting.verdict = verdict;
        waiting.failure = failure;
    }
    waiting.changed.notify_all();
}

void
ClaimDesk::work()
{
    Groups groups;
    Micros wait = idle_wait;
    while (!m_ring.ended()) {
        for (auto next = m_ring.pop_for(wait); next; next = m_ring.try_pop())
            groups[claim_slice_of((*next)->claim.key)].push_back(*next);
        wait = commit_ready(groups);
    }
    for (const auto& [slice, group] : groups)
        for (const WaitingPointer& waiting : group)
            answer(*waiting, {}, "this instance stops");
}

Micros
ClaimDesk::commit_ready(Groups& groups)
{
    Micros wait = idle_wait;
    for (auto at = groups.begin(); at != groups.end();) {
        const auto& [slice, group] = *at;
        TokenBucket& bucket = m_pace.at(slice);
        if (bucket.take(1, writes_per_slice, write_burst, monotonic_now())) {
            commit(slice, group);
            at = groups.erase(at);
            continue;
        }
        // Its turn comes later; the other slices need not wait for it.
        wait =
            std::min(wait, bucket.wait_for(1, writes_per_slice, write_burst) +
                               Micros(1));
        ++at;
    }
    return wait;
}

void
ClaimDesk::keep_releases(std::uint32_t slice, std::vector<std::string> releases)
{
    constexpr std::size_t most_due = 4096;
    if (releases.size() > most_due)
        releases.resize(most_due);
    m_releases_due.at(slice) = std::move(releases);
}

void
ClaimDesk::commit(std::uint32_t slice, const std::vector<WaitingPointer>& group)
{
    std::vector<Claim> batch;
    std::vector<WaitingPointer> asked;
    std::vector<std::string> releases =
        std::exchange(m_releases_due.at(slice), {});
    for (const WaitingPointer& waiting : group) {
        const std::lock_guard lock(waiting->mutex);
        if (waiting->release) {
            releases.push_back(waiting->claim.id);
        } else if (!waiting->abandoned) {
            batch.push_back(waiting->claim);
            asked.push_back(waiting);
        }
    }
    const std::uint64_t before = m_committer.writes();
    try {
        const auto verdicts =
            m_committer.commit(slice, batch, releases, unix_now());
        // A claim whose asker gave up is not given back here: only its holder
        // knows that it is not being dispatched, and gives it back itself.
        for (std::size_t i = 0; i < asked.size(); ++i)
            answer(*asked[i], verdicts[i], {});
    } catch (const Error& failure) {
        for (const WaitingPointer& waiting : asked)
            answer(*waiting, {}, failure.what());
        keep_releases(slice, std::move(releases));
    }
    m_state.metrics.claim_writes += m_committer.writes() - before;
    m_held = m_committer.held();
}

} // namespace crosslink
