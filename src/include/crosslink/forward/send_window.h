// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <deque>

namespace crosslink
{

/// The times at which calls were sent to one runner lately.
class SendWindow
{
public:
    /// A window in which more than one call may be sent is no longer than this.
    static constexpr Micros longest = std::chrono::milliseconds(2000);

    /// Takes note of a call that is sent at `now`; times do not go back.
    void sent(TimePoint now);
    /// As sent(), where one call is sent in each `window`: what passed unused
    /// before this one, up to half a window, shortens the time to the next.
    /// Without it, time for which a place is left to others would be lost.
    void sent_in_turn(Micros window, TimePoint now);
    /// Returns when fewer than `most` (at least 1) calls will have been sent in
    /// the time `window` before: now, or later.
    TimePoint free_at(std::size_t most, Micros window, TimePoint now) const;

private:
    std::deque<TimePoint> m_times; ///< The last one at least.
};

} // namespace crosslink
