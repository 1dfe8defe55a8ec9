// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/lapse_window.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Entries that expired during an outage are listed again within two seconds of
/// the store's return, as its operators state. This is that time, less the time
/// in which a call reaches its runner.
constexpr Micros relisting_time = std::chrono::milliseconds(1800);
/// An entry that was written just before an outage expires after three
/// heartbeats, and one whose next heartbeat was due just then after two.
constexpr int heartbeats_until_first_expiry = 2;
/// Requests that fail for less than this may have met a watch that was cut, or
/// a connection that broke: the next one is sent at once.
constexpr Micros shortest_failure = std::chrono::milliseconds(500);

} // namespace

LapseWindow::LapseWindow(Micros heartbeat)
    : m_shortest_outage(heartbeat * heartbeats_until_first_expiry)
{
}

void
LapseWindow::failed(TimePoint now)
{
    if (!m_failing_since)
        m_failing_since = now;
}

void
LapseWindow::answered(TimePoint confirmed, TimePoint now,
                      Micros window_of_sender)
{
    // What is known already says nothing of the store as it is now.
    if (m_confirmed && confirmed <= *m_confirmed)
        return;
    const bool was_long =
        !m_confirmed || confirmed - *m_confirmed >= m_shortest_outage;
    const bool failed_for_long =
        m_failing_since && confirmed - *m_failing_since >= shortest_failure;
    if (was_long && failed_for_long)
        open(now + relisting_time);
    if (was_long && window_of_sender > Micros{0})
        open(now + std::min(window_of_sender, relisting_time));
    if (m_failing_since && confirmed > *m_failing_since)
        m_failing_since.reset();
    m_confirmed = confirmed;
}

void
LapseWindow::restored(TimePoint now)
{
    open(now + relisting_time);
}

std::optional<TimePoint>
LapseWindow::until(TimePoint now) const
{
    if (now >= m_until)
        return std::nullopt;
    return m_until;
}

Micros
LapseWindow::remaining(TimePoint now) const
{
    return std::max(std::chrono::duration_cast<Micros>(m_until - now),
                    Micros{0});
}

void
LapseWindow::open(TimePoint until)
{
    m_until = std::max(m_until, until);
}

} // namespace crosslink
