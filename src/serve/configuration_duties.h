// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <optional>

namespace crosslink
{

/// Keeps the configuration up to date. Two watchers in each availability zone
/// wait at the platform; the others are told by peers; a slow poll is the
/// safety net. So the platform's reads do not grow with the fleet.
class ConfigurationDuties
{
public:
    explicit ConfigurationDuties(InstanceState& state);
    ~ConfigurationDuties();
    ConfigurationDuties(const ConfigurationDuties&) = delete;
    ConfigurationDuties& operator=(const ConfigurationDuties&) = delete;

    /// Learns the newest configuration that can be learned at a start. Returns
    /// whether this instance may serve with it.
    static bool learn_at_start(InstanceState& state, Micros waited);

private:
    Micros watch_round();
    Micros pull_round();
    bool is_watcher() const;

    InstanceState& m_state;
    Duty m_watch;
    Duty m_pull;
};

} // namespace crosslink
