// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <optional>

namespace crosslink
{

struct ForwardState;
struct RunnerPick;

/// Holds a place of this instance's share of a runner's capacity for a call of
/// another instance.
class LentPlace
{
public:
    /// Holds no place yet. Both must outlive this object.
    LentPlace(ForwardState& state, const RunnerPick& runner);
    ~LentPlace();
    LentPlace(const LentPlace&) = delete;
    LentPlace& operator=(const LentPlace&) = delete;

    /// Returns nothing if the place was taken, and else the time until there
    /// may be one. An `above_share` account gets places after others.
    std::optional<Micros> take(bool above_share);
    /// Records that the runner refused the call: its room counts here, since
    /// the call was sent on this instance's share.
    void refused();

private:
    void end();

    ForwardState& m_state;
    const RunnerPick& m_runner;
    bool m_taken = false;
};

} // namespace crosslink
