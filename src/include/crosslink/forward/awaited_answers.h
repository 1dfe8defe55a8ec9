// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <set>

namespace crosslink
{

/// The calls of this instance at one process that have had no first event yet.
/// They show that a process stalls before any of them has timed out.
class AwaitedAnswers
{
public:
    /// Time for which a call that ended without an answer counts as evidence,
    /// less and less.
    static constexpr Micros evidence_lifetime = std::chrono::seconds(3);

    /// Records a call that should have its first event by `due`.
    void sent(TimePoint due) { m_due.insert(due); }
    /// Records the first event, or the answer, of a call with that `due`.
    void answered(TimePoint due, TimePoint now);
    /// Records that a call with that `due` ended without an answer.
    void ended(TimePoint due, TimePoint now);
    /// Returns for how long the process has been stalled: an answer is overdue,
    /// none has come since it was due, and other processes of the service have
    /// answered since, the last one at `service_answered`. 0 if it is not
    /// stalled. If no process answers, none of them is worse than the others.
    Micros stalled_for(TimePoint service_answered, TimePoint now) const;
    /// Returns how far what is known holds at `now`: 1 while an overdue call is
    /// in flight, and less with the age of those that ended.
    double certainty(TimePoint now) const;
    /// Returns whether an answer is overdue.
    bool is_overdue(TimePoint now) const { return oldest_due(now) < now; }
    bool empty() const { return m_due.empty(); }

private:
    void erase(TimePoint due);
    TimePoint oldest_due(TimePoint now) const;

    std::multiset<TimePoint> m_due;
    TimePoint m_answered_at{};
    TimePoint m_missed_due{}; ///< Of a call that ended without an answer.
    TimePoint m_missed_at{};  ///< When it ended.
};

/// Returns how much later than expected an answer may come, for a call with
/// `objective`, before its process counts as stalled: enough for a pause of a
/// busy machine, and little enough that a second call is still in time
/// elsewhere. The time of fetches is not part of what is expected.
Micros answer_allowance(Micros objective, bool fetches);

} // namespace crosslink
