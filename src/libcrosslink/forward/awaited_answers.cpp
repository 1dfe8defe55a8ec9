// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/awaited_answers.h>

#include <algorithm>

namespace crosslink
{

void
AwaitedAnswers::answered(TimePoint due, TimePoint now)
{
    erase(due);
    m_answered_at = std::max(m_answered_at, now);
}

void
AwaitedAnswers::ended(TimePoint due, TimePoint now)
{
    erase(due);
    if (due > now)
        return;
    m_missed_due = due;
    m_missed_at = now;
}

Micros
AwaitedAnswers::stalled_for(TimePoint service_answered, TimePoint now) const
{
    const TimePoint due = oldest_due(now);
    const bool is_stalled =
        due < now && m_answered_at < due && service_answered >= due;
    return is_stalled ? now - due : Micros{0};
}

double
AwaitedAnswers::certainty(TimePoint now) const
{
    if (!m_due.empty() && *m_due.begin() < now)
        return 1;
    if (m_missed_at == TimePoint{})
        return 0;
    return std::max(1 - seconds(now - m_missed_at) / seconds(evidence_lifetime),
                    0.0);
}

void
AwaitedAnswers::erase(TimePoint due)
{
    if (const auto found = m_due.find(due); found != m_due.end())
        m_due.erase(found);
}

/// Returns when the oldest call that counts should have been answered; the end
/// of time if there is none.
TimePoint
AwaitedAnswers::oldest_due(TimePoint now) const
{
    TimePoint due = m_due.empty() ? TimePoint::max() : *m_due.begin();
    if (m_missed_at != TimePoint{} && now - m_missed_at < evidence_lifetime)
        due = std::min(due, m_missed_due);
    return due;
}

Micros
answer_allowance(Micros objective, bool fetches)
{
    constexpr Micros longest_pause = std::chrono::milliseconds(50);
    constexpr int part_of_objective = 4;
    const Micros allowance =
        std::max(objective / part_of_objective, longest_pause);
    return fetches ? allowance + objective : allowance;
}

} // namespace crosslink
