// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <optional>

namespace crosslink
{

/// Keeps the configuration up to date. Two instances of each availability zone
/// watch the platform's record; the others learn of a new revision by gossip
/// and pull it from a peer, with a slow poll of the platform as fallback. Apart
/// from these polls, reads of the platform do not grow with the fleet.
class ConfigurationDuties
{
public:
    explicit ConfigurationDuties(InstanceState& state);
    ~ConfigurationDuties();
    ConfigurationDuties(const ConfigurationDuties&) = delete;
    ConfigurationDuties& operator=(const ConfigurationDuties&) = delete;

    /// Loads the newest configuration that can be reached at startup, from the
    /// platform or from peers of the zone. Returns whether this instance may
    /// serve with it.
    static bool load_at_startup(InstanceState& state);

private:
    Micros watch_round();
    Micros pull_round();
    void trim_heap();

    InstanceState& m_state;
    std::uint64_t m_seen_revision = 0;    ///< As of the last pull round.
    std::uint64_t m_trimmed_revision = 0; ///< The heap was trimmed after it.
    Duty m_watch;
    Duty m_pull;
};

} // namespace crosslink
