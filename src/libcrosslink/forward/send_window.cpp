// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/send_window.h>

#include <algorithm>

namespace crosslink
{

void
SendWindow::sent(TimePoint now)
{
    while (!m_times.empty() && m_times.front() + longest <= now)
        m_times.pop_front();
    m_times.push_back(now);
}

void
SendWindow::sent_in_turn(Micros window, TimePoint now)
{
    if (m_times.empty())
        sent(now);
    else
        sent(std::clamp(m_times.back() + window, now - window / 2, now));
}

TimePoint
SendWindow::free_at(std::size_t most, Micros window, TimePoint now) const
{
    if (m_times.size() < most)
        return now;
    // The calls are ordered by time; the last `most` of them delay the next
    // one.
    return std::max(now, m_times[m_times.size() - most] + window);
}

} // namespace crosslink
