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
    static bool load_at_startup(InstanceState& state);

private:
    Micros watch_round();
    Micros pull_round();
    void trim_heap();

    InstanceState& m_state;
    std::uint64_t m_seen_revision = 0;    ///< Of the pull duty.
    std::uint64_t m_trimmed_revision = 0; ///< Memory was given back after it.
    Duty m_watch;
    Duty m_pull;
};

} // namespace crosslink
