// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/room_estimate.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Time until the next look where other calls have to end first. Longer than a
/// call that waits may be sent too early.
constexpr Micros look_time = std::chrono::milliseconds(40);

} // namespace

void
RoomEstimate::refused(std::uint32_t own_calls, TimePoint now,
                      std::uint64_t random)
{
    constexpr std::uint64_t steps = 1000;
    const Micros jitter = (max_hold - min_hold) * (random % steps) / steps;
    hold(own_calls, now, min_hold + jitter);
}

void
RoomEstimate::refused_to_sole_sender(std::uint32_t own_calls, TimePoint now)
{
    hold(own_calls, now, sole_sender_hold);
}

void
RoomEstimate::hold(std::uint32_t own_calls, TimePoint now, Micros time)
{
    m_room = std::max<std::uint32_t>(own_calls, 1);
    m_refused_at = now;
    m_held_until = now + time;
}

std::uint32_t
RoomEstimate::room_at(TimePoint now) const
{
    const auto grown =
        std::max<std::int64_t>((now - m_held_until) / growth_time, 0);
    return m_room + static_cast<std::uint32_t>(grown);
}

TimePoint
RoomEstimate::free_at(std::uint32_t own_calls, TimePoint now) const
{
    if (!m_refused_at)
        return {};
    if (now < m_held_until)
        return m_held_until;
    return own_calls < room_at(now) ? TimePoint{} : now + look_time;
}

} // namespace crosslink
