// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/ports/fleet_feed.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crosslink
{

struct ForwardState;

/// Takes one change after the other that the platform told into the state of
/// an instance.
class ChangeApplier
{
public:
    /// `whole` where the changes are all that there is; see
    /// ForwardState::apply_changes() for `lapsed_until`. `state` outlives it.
    ChangeApplier(ForwardState& state, bool whole,
                  std::optional<TimePoint> lapsed_until);

    void operator()(const ServiceMapChanged& change);
    void operator()(const WeightsNamed& change);
    void operator()(const WeightsRecorded& change);
    void operator()(const RolloutMarked& change);
    void operator()(const RequestBlocked& change);
    void operator()(const ZoneEvacuated& change);
    void operator()(const RunnerListed& change);
    void operator()(const RunnerGone& change);
    void operator()(const InstanceListed& change);
    void operator()(const DutyHolder& change);
    /// Drops what a whole reading did not name, and lets what the record of
    /// rollouts tells count.
    void finish();

private:
    void finish_whole();
    void started_anew(const ListedRunner& runner);
    void note_replaced(const ListedRunner& runner);
    void note_gone(const std::string& id);

    ForwardState& m_state;
    const bool m_whole;
    const std::optional<TimePoint> m_lapsed_until;
    std::vector<ListedRunner> m_runners;
    std::set<std::string> m_instances;
    std::set<std::string> m_evacuated; ///< Zones.
    std::set<std::string> m_blocked;   ///< Requests, by digest.
    bool m_holder_named = false;
};

} // namespace crosslink
