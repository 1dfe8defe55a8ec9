// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "block_duty.h"
#include "kept_duties.h"
#include "placement_duty.h"
#include "rollout_duty.h"
#include "software_duty.h"
#include "weights_duty.h"

#include <serve/duty.h>
#include <serve/fleet/exchange.h>
#include <serve/forward/forward_state.h>

#include <crosslink/base/backoff.h>
#include <crosslink/forward/account_usage.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/load_aggregator.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/kept/kept_replica.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace crosslink
{

/// The fleet-wide work that one instance does at a time, under a lease at the
/// platform: the coordinator duty, which is called "steward" at the platform
/// and in the log. Its holder orders runners to load new weights, keeps the
/// directory of stored KV, and collects and distributes the load of all
/// instances. Every instance has an object of this class, which is idle unless
/// the instance holds the duty: only then it has threads for this work.
class Coordinator
{
public:
    /// `state` must outlive this object.
    explicit Coordinator(ForwardState& state);

    /// Returns whether this instance answers the requests below: it holds the
    /// duty, or held it until a moment ago and knows of no other holder.
    bool may_answer() const;
    /// Returns where `parts` are stored, for a call that ends within `longest`.
    /// Throws Error(LeaseLost) if the duty ended too long ago.
    KeptAnswer find_kept_parts(const KeptSpace& space,
                               std::span<const PromptPart> parts,
                               Micros longest);
    /// See KeptDuties::stop_answering(); the later holder is at `address`.
    bool stop_answering(std::uint64_t token, const std::string& address);
    /// Cancels the saves of `parts` that were assigned to a call that did not
    /// run.
    void cancel_saves(const std::string& space,
                      std::span<const PromptPart> parts);
    /// Records the state that another instance reports, and returns the state
    /// of the fleet that it needs. Throws Error(LeaseLost) if the duty ended
    /// too long ago.
    ExchangeResponse exchange(const ExchangeRequest& request);
    /// Reacts at once to changes that were read from the platform.
    void fleet_changed();
    /// Checks the lease of the duty at once: the platform's store came back
    /// from a copy.
    void store_restored() { m_lease_duty.wake(); }
    /// Lets this instance take the duty before others: its holder is about to
    /// leave the duty to it, or with `is_free` has just done so.
    void offer_duty(bool is_free);
    /// Stops acting under the duty at once, and releases its lease a moment
    /// later. For a planned stop.
    void resign();

private:
    Micros lease_round();
    bool hold_duty(Micros span);
    void record_settled(LeaseOrigin origin);
    void record_acting();
    void schedule_release();
    void release_when_due();
    bool may_take_duty();
    bool must_yield();
    void yield();
    void pass_on(const InstanceInfo& successor);
    void offer_to(const InstanceInfo& successor, bool is_free);
    bool is_release_due();
    bool in_large_fleet();
    Micros takeover_wait(bool first);
    std::size_t takeover_rank();
    void begin_duty();
    void stop_idle_threads();
    TimePoint require_may_answer() const;

    ForwardState& m_state;
    std::uint64_t m_last_token = 0;
    bool m_settle_due = false;        ///< See record_settled().
    std::uint64_t m_acting_token = 0; ///< Of the last record_acting().
    bool m_threads_run = false;       ///< Those of the work under the duty.
    /// When the lease is released, once a planned stop has begun.
    Guarded<std::optional<TimePoint>> m_release_at;
    /// The instance that is to have the duty next, if this one passes it on.
    Guarded<std::optional<InstanceInfo>> m_successor;
    /// Until when the duty is left to others.
    TimePoint m_yielded_until{};
    /// Until when a holder that leaves the duty lets this instance take it.
    Guarded<TimePoint> m_offered_until;
    /// The holder said that the duty is free.
    std::atomic<bool> m_told_free{false};
    std::map<std::string, std::uint64_t> m_seen_weights;
    std::uint64_t m_seen_map = 0; ///< Version of the configuration.
    Guarded<LoadAggregator> m_loads;
    Guarded<UsageAggregator> m_usage;
    Guarded<SpeedAggregator> m_speeds;
    WeightsDuty m_weights;
    RolloutDuty m_rollouts;
    BlockDuty m_blocks;
    SoftwareDuty m_software;
    KeptDuties m_kept;
    PlacementDuty m_placement;
    Backoff m_take_backoff; ///< Of attempts to take the duty.
    Duty m_lease_duty;
};

} // namespace crosslink
