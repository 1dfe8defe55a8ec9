// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "call_prompt.h"
#include "forward_state.h"

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/kept/kept_part.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace crosslink
{

/// Chooses the runner of one call, anew for each time that it is sent, by
/// where its prompt is kept and by the weights that are named then.
class RunnerChoice
{
public:
    /// All of them outlive it. `holder` is null on open routes.
    RunnerChoice(ForwardState& state, CallPrompt& prompt,
                 const ForwardedCall& call, const ServiceRoute& route,
                 const AccountSettings* holder);
    ~RunnerChoice();
    RunnerChoice(const RunnerChoice&) = delete;
    RunnerChoice& operator=(const RunnerChoice&) = delete;

    /// Chooses a runner. Returns false, and leaves the last one, where none
    /// takes work.
    bool choose();
    /// Returns when a runner takes work again, and keeps a place there for the
    /// call where that is before `useful`.
    NextAvailability keep_place(TimePoint useful);
    /// Returns when a runner takes work again, and keeps no place there.
    NextAvailability next_available();
    /// As choose(), with the place that was kept.
    bool choose_kept();
    /// Takes note that the call is sent to the chosen runner at `now`; see
    /// RunnerTable::sent().
    void sent(std::uint64_t tokens, std::uint64_t resident, TimePoint now);
    /// See RunnerQuery::spares_ending.
    void spare_ending(bool spares) { m_spares_ending = spares; }
    /// Lets the last runner not be chosen again.
    void pass_over_last() { m_avoid.insert(m_pick.id); }
    /// Lets all runners be chosen again.
    void pass_over_none() { m_avoid.clear(); }

    /// The runner that was chosen last.
    const RunnerPick& pick() const { return m_pick; }
    /// The service of the route that the call goes to.
    const std::string& service() const { return m_service; }
    /// The newest weights that were named at the last choice; 0 for none.
    std::uint64_t newest_weights() const { return m_newest; }
    /// Returns whether the call's account had more than its part of what
    /// limited runners of the service take, as of the last choice.
    bool account_ahead() const { return m_account_ahead; }
    /// Returns the space of the KV that the chosen runner makes of the prompt.
    KeptSpace kept_space() const { return space_of(m_pick.version); }

    /// Returns the time after which a call that has not begun is withdrawn, as
    /// its weights are about to be forbidden: none or less where that is due;
    /// nothing where no newer ones are named. Only for a call for a model.
    std::optional<Micros> weights_left() const;
    /// Returns whether that time is over.
    bool is_outdated() const;

private:
    RunnerQuery make_query();
    void add_prompt(RunnerQuery& query);
    void add_account(RunnerQuery& query);
    bool take(std::optional<RunnerPick> pick);
    void add_warm_up(RunnerQuery& query, const ServiceMap& map) const;
    void release();
    std::string_view account() const;
    KeptSpace space_of(std::uint64_t version) const;

    ForwardState& m_state;
    CallPrompt& m_prompt;
    const ForwardedCall& m_call;
    const AccountSettings* m_holder;
    const std::string m_service;
    const std::string m_affinity; ///< The last shared part of the prompt.
    /// Zones whose runners may have the call; nothing for all.
    const std::optional<ZoneSet> m_zones_allowed;
    RunnerPick m_pick;
    bool m_reserved = false; ///< The call is about to be sent to m_pick.
    /// Where a place is kept for the call while it waits.
    std::optional<NextAvailability> m_kept_place;
    bool m_account_ahead = false; ///< At the last choice.
    bool m_spares_ending = true;
    std::set<std::string> m_avoid; ///< Runners that are not chosen.
    std::uint64_t m_newest = 0;    ///< Weights named at the last choice.
};

} // namespace crosslink
