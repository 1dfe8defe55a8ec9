// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/backoff.h>
#include <crosslink/kept/question_pacing.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Pause after a question that failed: calls must not wait for a holder of the
/// duty that is gone.
constexpr Micros first_pause = std::chrono::milliseconds(400);
/// What each instance adds to the pause after the next failures. Pauses are
/// three quarters of it on average, so that a holder that never answers gets
/// about 110 questions a second from a fleet of any size: each costs it a
/// connection, beside the polls of its children.
constexpr Micros pause_per_instance = std::chrono::milliseconds(12);

Micros
long_pause(std::size_t instances)
{
    return std::max(first_pause,
                    pause_per_instance * static_cast<Micros::rep>(instances));
}

} // namespace

bool
QuestionPacing::may_ask(std::string_view holder, TimePoint now)
{
    if (holder != m_holder) {
        m_holder = holder;
        m_failures = 0;
        m_next_at = TimePoint{};
    }
    return !holder.empty() && now >= m_next_at;
}

void
QuestionPacing::answered(TimePoint asked)
{
    // An answer to a question from before the pause does not end it: others
    // that were asked with it failed.
    if (asked >= m_next_at)
        m_failures = 0;
}

void
QuestionPacing::failed(TimePoint asked, std::size_t instances,
                       std::uint64_t random)
{
    // Of the questions that are open at the same time, only the first that
    // fails counts.
    if (asked < m_next_at)
        return;
    const Micros pause = m_failures == 0 ? first_pause : long_pause(instances);
    ++m_failures;
    m_next_at = asked + Backoff(pause, pause).next(random);
}

} // namespace crosslink
