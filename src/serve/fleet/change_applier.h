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

/// Applies changes of the platform's store, one after the other, to the state
/// of an instance.
class ChangeApplier
{
public:
    /// See ForwardState::apply_changes() for `lapsed_until`. `state` must
    /// outlive this object.
    ChangeApplier(ForwardState& state, ChangesKind kind,
                  std::optional<TimePoint> lapsed_until);

    void operator()(const ServiceMapChanged& change);
    void operator()(const WeightsNamed& change);
    void operator()(const WeightsRecorded& change);
    void operator()(const RolloutMarked& change);
    void operator()(const RequestBlocked& change);
    void operator()(const SoftwareRecorded& change);
    void operator()(const RoutesRecorded& change);
    void operator()(const ZoneEvacuated& change);
    void operator()(const RunnerListed& change);
    void operator()(const RunnerGone& change);
    void operator()(const InstanceListed& change);
    void operator()(const DutyHolder& change);
    /// Ends the sequence: drops what a snapshot did not name, and applies the
    /// records of rollouts.
    void finish();

private:
    bool is_snapshot() const { return m_kind == ChangesKind::Snapshot; }
    bool is_copy() const { return m_kind == ChangesKind::RestoredCopy; }
    void finish_copy();
    void finish_snapshot();
    void handle_restart(const ListedRunner& runner);
    void note_replaced(const ListedRunner& runner);
    void note_unlisted(const std::string& id);

    ForwardState& m_state;
    const ChangesKind m_kind;
    const std::optional<TimePoint> m_lapsed_until;
    std::vector<ListedRunner> m_runners;
    std::set<std::string> m_instances;
    std::set<std::string> m_evacuated; ///< Zones.
    std::set<std::string> m_blocked;   ///< Requests, by digest.
    std::set<std::string> m_software;  ///< Records, by id.
    std::set<std::string> m_routes;    ///< As above.
    bool m_holder_named = false;
};

} // namespace crosslink
