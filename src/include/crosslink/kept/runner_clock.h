// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>

namespace crosslink
{

/// Time of the clock that runners and stores of KV share, in milliseconds. It
/// is never compared with any other clock.
using RunnerMillis = std::uint64_t;

/// Estimate of the runners' clock: the last reported time, advanced by the
/// steady clock of this process.
class RunnerClock
{
public:
    /// Sets the clock to `clock`, as reported at `now`; 0 where it is not
    /// known.
    void set(RunnerMillis clock, TimePoint now);
    /// Calls set() where `clock` is later than the last reported time.
    void advance(RunnerMillis clock, TimePoint now);

    /// Returns whether a time was reported.
    bool is_known() const { return m_reported != 0; }
    /// Returns the last reported time; 0 where there is none.
    RunnerMillis reported() const { return m_reported; }
    /// Returns when that time was reported.
    TimePoint reported_at() const { return m_reported_at; }
    /// Returns the clock at `now`, which is not before the last report; 0 where
    /// it is not known.
    RunnerMillis at(TimePoint now) const;

private:
    RunnerMillis m_reported = 0;
    TimePoint m_reported_at{};
};

} // namespace crosslink
