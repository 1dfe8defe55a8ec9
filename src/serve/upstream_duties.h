// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <span>
#include <string>

namespace crosslink
{

/// Keeps what is known of the upstreams: the platform's lagging list, load
/// reports and cache events of the engines. Two instances of a zone read the
/// list; the others ask those for what changed.
class UpstreamDuties
{
public:
    explicit UpstreamDuties(InstanceState& state);

    /// Reads the list once. Throws Error where the platform can't be reached.
    static void read_list(InstanceState& state);
    /// Announces this instance in the list.
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
