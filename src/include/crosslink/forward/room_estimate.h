// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>

namespace crosslink
{

/// How many calls of this instance one process of a brittle runner has room
/// for, as far as it has shown. A brittle runner states how many calls it can
/// refuse in a second for want of room; one more and its process fails. Answers
/// the load of instances that together send more than such a runner can take:
/// one that was refused waits for over a second, and then sends no more calls
/// at a time than before. While runners of the service refuse calls,
/// RunnerTable sees to it that one instance alone sends to each, its own calls
/// and those of others. That one knows how many calls the runner has, and its
/// refusals are few, so that it waits for a moment only. The room that a
/// refusal shows may be too little, because calls of others were there too:
/// instances learn at different times that one alone is to send. The only
/// sender therefore soon tries one more call at a time, and less often each
/// time that is refused.
class RoomEstimate
{
public:
    /// Time without a refusal after which one more call at a time is sent.
    static constexpr Micros growth_time = std::chrono::seconds(3);
    /// Least and greatest time for which nothing is sent after a refusal.
    static constexpr Micros min_hold = std::chrono::milliseconds(1100);
    static constexpr Micros max_hold = std::chrono::milliseconds(1400);
    /// The same for the only instance that sends to the runner.
    static constexpr Micros sole_sender_hold = std::chrono::milliseconds(100);
    /// Time between two calls of one instance, so that the second is not sent
    /// before it can know that the first was refused.
    static constexpr Micros send_interval = std::chrono::milliseconds(30);

    bool empty() const { return !m_refused_at; }
    /// Records a refusal at `now`, while the runner had `own_calls` other calls
    /// of this instance. `random` bits spread the instances.
    void refused(std::uint32_t own_calls, TimePoint now, std::uint64_t random);
    /// The same if only this instance is to send to the runner, which bears
    /// `bearable` refusals a second.
    void refused_to_sole_sender(std::uint32_t own_calls, std::uint32_t bearable,
                                TimePoint now);
    /// Returns when a call may be sent in addition to `own_calls`: at once,
    /// after the hold, or at a later look if the runner has no room for it.
    TimePoint free_at(std::uint32_t own_calls, TimePoint now) const;
    /// The same for the only instance that sends to the runner. Until it was
    /// refused a call itself, the room is not known: after the hold it sends,
    /// and at most the one call that is too many is refused.
    TimePoint free_at_sole_sender(std::uint32_t own_calls, TimePoint now) const;

private:
    void hold(std::uint32_t own_calls, TimePoint now, Micros time);
    std::uint32_t room_at(TimePoint now) const;

    std::optional<TimePoint> m_refused_at;
    std::uint32_t m_room = 0;           ///< After the hold of the last refusal.
    bool m_refused_alone = false;       ///< To the only sender.
    Micros m_growth_time = growth_time; ///< Time until one more call is tried.
    TimePoint m_held_until{};
};

} // namespace crosslink
