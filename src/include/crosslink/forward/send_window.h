// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <deque>

namespace crosslink
{

/// The times at which calls were sent to one runner in the last second.
class SendWindow
{
public:
    /// Takes note of a call that is sent at `now`; times do not go back.
    void sent(TimePoint now);
    /// Returns how many calls were sent in the second before `now`.
    std::size_t count(TimePoint now) const;
    /// Returns when fewer than `most` (at least 1) calls will have been sent in
    /// the second before: now, or later.
    TimePoint free_at(std::size_t most, TimePoint now) const;

private:
    std::deque<TimePoint> m_times;
};

} // namespace crosslink
