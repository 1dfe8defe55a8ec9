// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <deque>

namespace crosslink
{

/// The times at which calls were recently sent to one runner.
class SendWindow
{
public:
    /// Maximum length of a window in which more than one call may be sent.
    static constexpr Micros longest = std::chrono::milliseconds(2000);

    /// Records a call that is sent at `now`; times must not decrease.
    void sent(TimePoint now);
    /// As sent(), if one call is sent in each `window`. The time that passed
    /// unused before this call, up to half a window, shortens the time to the
    /// next; otherwise the time for which a place is left to other calls would
    /// be lost.
    void sent_in_turn(Micros window, TimePoint now);
    /// Returns when fewer than `most` (at least 1) calls will have been sent in
    /// the preceding `window`: `now` or later.
    TimePoint free_at(std::size_t most, Micros window, TimePoint now) const;

private:
    std::deque<TimePoint> m_times; ///< Holds at least the last one.
};

} // namespace crosslink
