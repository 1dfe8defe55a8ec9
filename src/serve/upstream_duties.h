// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"
#include "instance_state.h"

#include <map>
#include <string>

namespace crosslink
{

/// Keeps what is known of the upstreams: the platform's lagging list, load
/// reports and cache events of the engines.
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
    Micros load_round();
    void report(const std::string& address);
    void follow_events(const std::string& address, const EngineLoad& load);

    InstanceState& m_state;
    std::uint64_t m_load_rounds = 0;
    Duty m_list;
    Duty m_load;
};

} // namespace crosslink
