// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/duty.h>
#include <serve/forward/forward_state.h>

#include <string>

namespace crosslink
{

/// Records at the platform which requests are sent to no runner, and takes back
/// what proved wrong, while this instance has the duty; idle else. Instances
/// tell each other what they see; the record is for those that start later, or
/// after all others are gone.
class BlockDuty
{
public:
    /// `state` outlives it.
    explicit BlockDuty(ForwardState& state);

private:
    Micros round();
    void block(const std::string& request);
    void unblock(const std::string& request);

    ForwardState& m_state;
    Duty m_duty;
};

} // namespace crosslink
