// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <span>
#include <string>

namespace crosslink
{

/// Keeps the state of the upstreams up to date: the platform's list, which lags
/// behind, and the load reports and cache events of the engines. Two instances
/// of each availability zone read the list from the platform; the others fetch
/// it from those two if it changed.
class UpstreamDuties
{
public:
    explicit UpstreamDuties(InstanceState& state);

    /// Reads the list from the platform once. Throws Error where the platform
    /// can't be reached.
    static void read_list(InstanceState& state);
    /// Writes this instance into the platform's list; `leaving` marks it as
    /// about to stop.
    static void announce(InstanceState& state, bool leaving);

private:
    Micros list_round();
    static void apply_list(InstanceState& state,
                           std::span<const ListedInstance> listed,
                           TimePoint read_at);
    bool fetch_list_from_readers();
    bool fetch_list_from(const std::string& address);
    Micros load_round();
    void update_load_of(const std::string& address);
    void apply_cache_events(const std::string& address, const EngineLoad& load);

    InstanceState& m_state;
    std::uint64_t m_list_rounds = 0;
    std::uint64_t m_load_rounds = 0;
    Duty m_list;
    Duty m_load;
};

} // namespace crosslink
