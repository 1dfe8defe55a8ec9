// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "relay_wire.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/relay_selector.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/membership/instance_info.h>

#include <memory>
#include <optional>
#include <string>

namespace crosslink
{

class CallConnection;
struct ForwardState;

/// A connection on which a call can be sent to a runner.
struct RunnerLink {
    std::unique_ptr<CallConnection> connection; ///< Null if there is none.
    bool sent = false;                          ///< A call was sent on it.
    TimePoint opened_at{}; ///< When it was opened, or taken from the idle ones.
    bool reused = false;
    /// The instance that it leads to, which passes the call on; nothing if it
    /// leads to the runner itself.
    std::optional<InstanceInfo> relay;
};

/// Finds the connections on which one call can be sent to a chosen runner, one
/// after the other: over this instance's own path, then through others.
class RunnerConnector
{
public:
    /// `state` and `call_id` must outlive this object.
    RunnerConnector(ForwardState& state, const std::string& call_id);

    /// Begins with another runner, which must outlive the use of this object.
    /// With `only_fresh`, no idle connection to it is used.
    void begin(const RunnerPick& runner, bool only_fresh);
    /// Returns the next connection. Blocks for `time_left` at most.
    RunnerLink next(Micros time_left);
    /// Records that the runner answered on `link`.
    void answered(const RunnerLink& link);
    /// Records why the instance of `link` did not send the call. If its share
    /// is used up, a place may be free again after `free_in`.
    void not_relayed(const RunnerLink& link, RelayFailure failure,
                     Micros free_in);
    /// To be called once next() returned no connection: returns whether that is
    /// due to the runner, and not to this instance's path.
    bool runner_failed();

    /// Returns whether the runner sent nothing at all when this instance tried
    /// to connect.
    bool was_silent() const { return m_silent; }

private:
    RunnerLink open_direct(Micros time_left);
    RunnerLink open_relay(Micros time_left);
    RunnerLink open_lender(Micros time_left);
    void connect_relay(RunnerLink& link, Micros time_left);

    ForwardState& m_state;
    const std::string& m_call_id;
    const RunnerPick* m_runner = nullptr;
    bool m_only_fresh = false;
    bool m_tried_direct = false;
    bool m_direct_failed = false;
    bool m_silent = false;
    int m_relays_tried = 0;
    FailedZones m_failed_zones; ///< Of the instances tried for this call.
    /// An instance that reaches runners does not reach this one.
    bool m_down = false;
};

} // namespace crosslink
