// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "block_duty.h"
#include "kept_duties.h"
#include "rollout_duty.h"
#include "weights_duty.h"

#include <serve/duty.h>
#include <serve/fleet/exchange.h>
#include <serve/forward/forward_state.h>

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/load_aggregator.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/kept/kept_replica.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace crosslink
{

/// The duties that one instance of the fleet has at a time, under a lease at
/// the platform: it orders new weights, and it keeps the directory of kept
/// KV. Every instance runs one of these; all but the holder's are idle.
class Coordinator
{
public:
    /// `state` outlives it.
    explicit Coordinator(ForwardState& state);

    /// True where this instance answers the questions below: it has the duty,
    /// or had it until a moment ago and knows of no other holder.
    bool may_answer() const;
    /// Answers where parts lie, for a call that ends within `longest`. Throws
    /// Error(LeaseLost) where the duty ended too long ago.
    KeptAnswer find_kept_parts(const KeptSpace& space,
                               std::span<const PromptPart> parts,
                               Micros longest);
    /// See KeptDuties::stop_answering(); the later holder is at `address`.
    bool stop_answering(std::uint64_t token, const std::string& address);
    /// Takes note of parts that were told to be saved by a call that did not
    /// run.
    void cancel_saves(const std::string& space,
                      std::span<const PromptPart> parts);
    /// Takes in what an instance tells of itself, and returns what it needs to
    /// know of the fleet. Throws Error(LeaseLost).
    ExchangeResponse exchange(const ExchangeRequest& request);
    /// Looks at once at what the platform told anew.
    void fleet_changed();
    /// Does nothing more under the duty, and gives it back a moment later, at a
    /// planned stop.
    void give_up();

private:
    Micros lease_round();
    void hold_duty(Micros span);
    void plan_release();
    void release_when_due();
    bool is_own_turn();
    Micros takeover_wait(bool first);
    std::size_t takeover_rank();
    void took_duty();
    TimePoint require_knowledge() const;

    ForwardState& m_state;
    std::uint64_t m_last_token = 0;
    /// When the duty is given back, once a planned stop has begun.
    Guarded<std::optional<TimePoint>> m_release_at;
    std::map<std::string, std::uint64_t> m_seen_weights;
    std::uint64_t m_seen_map = 0; ///< Version.
    Guarded<LoadAggregator> m_loads;
    WeightsDuty m_weights;
    RolloutDuty m_rollouts;
    BlockDuty m_blocks;
    KeptDuties m_kept;
    Duty m_lease_duty;
};

} // namespace crosslink
