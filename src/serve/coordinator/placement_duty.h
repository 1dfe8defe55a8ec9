// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/duty_placement.h>
#include <crosslink/membership/instance_info.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crosslink
{

class WeightsDuty;

/// While this instance holds the coordinator duty, finds out whether another
/// instance should have it; see DutyPlacement. Idle otherwise. It has a thread
/// of its own, so that a slow instance delays no renewal of the duty's lease.
class PlacementDuty
{
public:
    /// `pass_on` is called with the instance that should have the duty.
    /// `state` and `weights` must outlive this object.
    PlacementDuty(ForwardState& state, WeightsDuty& weights,
                  std::function<void(const InstanceInfo&)> pass_on);

    /// Starts and ends the thread; see Duty.
    void start();
    void stop() { m_duty.stop(); }

private:
    Micros round();
    bool has_acted(TimePoint now);
    std::map<std::string, TimePoint, std::less<>> missed_runners();
    DutyPlacement::HolderReach
    own_reach(const std::map<std::string, TimePoint, std::less<>>& missed,
              TimePoint now);
    std::optional<InstanceInfo> draw_instance();
    void ask(const DutyPlacement::HolderReach& own,
             const std::vector<std::string>& runners);

    ForwardState& m_state;
    WeightsDuty& m_weights;
    const std::function<void(const InstanceInfo&)> m_pass_on;
    std::optional<TimePoint> m_acts_since; ///< Of this term of the duty.
    /// Names of the instances asked since all of them were asked.
    std::set<std::string, std::less<>> m_asked;
    Duty m_duty;
};

} // namespace crosslink
