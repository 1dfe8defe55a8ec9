// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/send_window.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A runner counts the calls of each second; those that are under way are
/// counted a little longer here, as ways differ by as much.
constexpr Micros window = std::chrono::milliseconds(1050);

} // namespace

void
SendWindow::sent(TimePoint now)
{
    while (!m_times.empty() && m_times.front() + window <= now)
        m_times.pop_front();
    m_times.push_back(now);
}

std::size_t
SendWindow::count(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_times.begin(), m_times.end(),
                      [now](TimePoint at) { return now < at + window; }));
}

TimePoint
SendWindow::free_at(std::size_t most, TimePoint now) const
{
    const std::size_t sent = count(now);
    if (sent < most)
        return now;
    // The calls are in the order of their times; the last `most` are the ones
    // that keep the next one back.
    return m_times[m_times.size() - most] + window;
}

} // namespace crosslink
