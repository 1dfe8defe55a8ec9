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

/// Returns how soon the only sender tries one more call after the first
/// refusal: so late that its own refusals are about half of what the runner
/// bears.
Micros
first_growth_time(std::uint32_t bearable)
{
    return Micros(std::chrono::seconds(2)) / (bearable + 1);
}

} // namespace

void
RoomEstimate::refused(std::uint32_t own_calls, TimePoint now,
                      std::uint64_t random)
{
    constexpr std::uint64_t steps = 1000;
    const Micros jitter = (max_hold - min_hold) * (random % steps) / steps;
    hold(own_calls, now, min_hold + jitter);
    m_refused_alone = false;
    m_growth_time = growth_time;
}

void
RoomEstimate::refused_to_sole_sender(std::uint32_t own_calls,
                                     std::uint32_t bearable, TimePoint now)
{
    const bool confirmed =
        m_refused_alone && m_room == std::max<std::uint32_t>(own_calls, 1);
    m_growth_time = confirmed ? std::min(2 * m_growth_time, growth_time)
                              : first_growth_time(bearable);
    hold(own_calls, now, sole_sender_hold);
    m_refused_alone = true;
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
        std::max<std::int64_t>((now - m_held_until) / m_growth_time, 0);
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

TimePoint
RoomEstimate::free_at_sole_sender(std::uint32_t own_calls, TimePoint now) const
{
    if (m_refused_alone)
        return free_at(own_calls, now);
    return now < m_held_until ? m_held_until : TimePoint{};
}

} // namespace crosslink
