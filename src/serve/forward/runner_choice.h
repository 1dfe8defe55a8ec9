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
#include <utility>
#include <vector>

namespace crosslink
{

/// Chooses the runner for each send of one call, depending on where its prompt
/// parts are stored and on the weights that are named at that time.
class RunnerChoice
{
public:
    /// All references must outlive this object. `account` is the account of the
    /// call; null on open routes.
    RunnerChoice(ForwardState& state, CallPrompt& prompt,
                 const ForwardedCall& call, const ServiceRoute& route,
                 const AccountSettings* account);
    ~RunnerChoice();
    RunnerChoice(const RunnerChoice&) = delete;
    RunnerChoice& operator=(const RunnerChoice&) = delete;

    /// Chooses a runner. Returns false, and keeps the last choice, if no runner
    /// accepts calls.
    bool choose();
    /// Chooses a runner at which another instance may lend a place of its
    /// share. Returns false, and keeps the last choice, if there is none, or
    /// the call has asked for enough of them.
    bool borrow();
    /// Returns when a runner accepts calls again, and reserves a slot there for
    /// the call if that is before `useful`.
    NextAvailability reserve_next(TimePoint useful);
    /// Returns when a runner accepts calls again, without a reservation.
    NextAvailability next_available();
    /// Returns when borrow() may find a place; nothing if it will not. See
    /// RunnerTable::next_loan().
    std::optional<TimePoint> next_loan();
    /// As choose(), with the slot reserved by reserve_next(), if there is one.
    bool choose_reserved();
    /// Records that the call is sent to the chosen runner at `now`; see
    /// RunnerTable::sent().
    void sent(std::uint64_t tokens, std::uint64_t resident, TimePoint now);
    /// Counts the call, sent at `now`, against the share of its account.
    void count_send(TimePoint now);
    /// Records that the call ended at the chosen runner; see
    /// RunnerTable::ended().
    void ended(std::uint64_t resident);
    /// Returns another runner for the call while it is in flight at the chosen
    /// one: with the same software, and weights that are not older. Nothing if
    /// none accepts calls. No place is reserved.
    std::optional<RunnerPick> choose_second();
    /// Makes `other` the chosen runner, and the chosen one `other`. No place
    /// must be reserved at the chosen one.
    void swap_pick(RunnerPick& other) { std::swap(m_pick, other); }
    /// Reserves a place for another send of the call to the chosen runner.
    void reserve_again();
    /// See RunnerQuery::avoids_exiting.
    void avoid_exiting(bool avoids) { m_avoids_exiting = avoids; }
    /// From now on chooses runners of `service` with `software` only: one began
    /// the stream of the call.
    void require(const std::string& service, const std::string& software);
    /// Excludes the last runner from further choices.
    void exclude_last() { m_excluded.insert(m_pick.id); }
    /// Allows all runners to be chosen again.
    void clear_excluded() { m_excluded.clear(); }

    /// From now on chooses as if no runner had shared segments of the prompt in
    /// its memory. Returns false if none was taken to have any.
    bool ignore_segments();

    /// Returns the runner that was chosen last.
    const RunnerPick& pick() const { return m_pick; }
    /// Returns the service of the route that the call is sent to.
    const std::string& service() const { return m_service; }
    /// Returns the newest weights that were named at the last choice; 0 for
    /// none.
    std::uint64_t newest_weights() const { return m_newest; }
    /// Returns the age of what other instances reported of the load, as of the
    /// last choice.
    Micros load_age() const { return m_pick.load_age; }
    /// Returns whether, as of the last choice, the call's account had used more
    /// than its fair share of the service.
    bool account_above_share() const { return m_account_above_share; }
    /// Returns the space of the KV that the chosen runner makes of the prompt.
    KeptSpace kept_space() const { return space_of(m_pick.version); }

    /// Returns the time until a call that has not begun is withdrawn because
    /// the weights of its runner are about to be forbidden. Zero or negative if
    /// it is due; nothing if no newer weights are named. Only for calls to a
    /// model.
    std::optional<Micros> time_to_withdrawal() const;
    /// Returns whether a call that has not begun is to be withdrawn now.
    bool is_outdated() const;

private:
    RunnerQuery make_query();
    void add_prompt(RunnerQuery& query);
    void find_segments(TimePoint now);
    void add_account(RunnerQuery& query);
    bool adopt(std::optional<RunnerPick> pick);
    bool counts_shares() const;
    double share_units() const;
    void release();
    std::string_view account_name() const;
    KeptSpace space_of(std::uint64_t version) const;

    ForwardState& m_state;
    CallPrompt& m_prompt;
    const ForwardedCall& m_call;
    const AccountSettings* m_account;
    std::string m_service;
    std::optional<std::string> m_software; ///< See require().
    const std::string m_affinity;  ///< Id of the prompt's last shared part.
    bool m_segments_found = false; ///< See find_segments().
    std::vector<std::string> m_segment_ids; ///< Those of m_segments.
    std::vector<SharedSegment> m_segments;
    /// Zones whose runners may get the call; nothing for all.
    const std::optional<ZoneSet> m_zones_allowed;
    RunnerPick m_pick;
    bool m_reserved = false; ///< The call is about to be sent to m_pick.
    int m_loans_asked = 0;   ///< See borrow().
    /// The slot that is reserved for the call while it waits.
    std::optional<NextAvailability> m_reservation;
    bool m_account_above_share = false; ///< As of the last choice.
    bool m_avoids_exiting = true;
    std::set<std::string> m_excluded; ///< Runners that are not chosen.
    std::uint64_t m_newest = 0;       ///< Newest weights as of the last choice.
};

} // namespace crosslink
