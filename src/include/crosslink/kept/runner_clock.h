// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>

namespace crosslink
{

/// The time of the clock that runners and stores of kept KV share, in
/// milliseconds. Never compared with any other clock.
using RunnerMillis = std::uint64_t;

/// The runners' clock as it was told last, carried on by the own steady clock.
class RunnerClock
{
public:
    /// Takes over `clock`, told at `now`; 0 where it is not known.
    void set(RunnerMillis clock, TimePoint now);
    /// As set(), where `clock` is later than what was told before.
    void advance(RunnerMillis clock, TimePoint now);

    /// True once it was told.
    bool is_known() const { return m_told != 0; }
    /// Returns what was told last; 0 before.
    RunnerMillis told() const { return m_told; }
    /// Returns when it was told.
    TimePoint told_at() const { return m_told_at; }
    /// Returns the clock at `now`, which is not before it was told; 0 where it
    /// is not known.
    RunnerMillis at(TimePoint now) const;

private:
    RunnerMillis m_told = 0;
    TimePoint m_told_at{};
};

} // namespace crosslink
