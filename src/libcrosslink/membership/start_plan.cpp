// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/start_plan.h>

namespace crosslink
{

namespace
{

/// Time in which a starting instance of a large fleet learns from others: the
/// lease of a lost holder ends in two seconds, the next one reads all in one,
/// and each of three levels of the tree takes as long to pass it on.
constexpr Micros patience = std::chrono::seconds(6);
/// Instances that lose their patience read all at random times within this
/// span. 2,000 of them with 100 requests each then make the 16,000 requests a
/// second that a platform of that size takes.
constexpr Micros read_span = std::chrono::seconds(12);
/// Pauses between two questions for the holder of the duty.
constexpr Micros first_find_pause = std::chrono::milliseconds(250);
constexpr Micros longest_find_pause = std::chrono::seconds(2);
/// Pause between two questions to the holder: the parents that it names learn
/// from their own meanwhile. The first one comes at a random time within half
/// of it, so that it is not asked by all at once.
constexpr Micros ask_pause = std::chrono::seconds(1);

Micros
random_part(Micros span, std::mt19937_64& random)
{
    return Micros(static_cast<Micros::rep>(
        random() % static_cast<std::uint64_t>(span.count())));
}

} // namespace

StartPlan::StartPlan(std::uint64_t random)
    : m_random(random), m_find_pause(first_find_pause, longest_find_pause)
{
}

void
StartPlan::begin(TimePoint now)
{
    m_read_all_at = now + patience + random_part(read_span, m_random);
    m_find_at = now + m_find_pause.next(m_random());
    m_ask_at = now + random_part(ask_pause / 2, m_random);
}

void
StartPlan::holder_failed(TimePoint now)
{
    // Failures come sooner one after the other than the longest pause ends.
    if (m_find_again)
        return;
    m_find_again = true;
    m_find_at = now + m_find_pause.next(m_random());
}

StartPlan::Step
StartPlan::next(bool has_duty, bool holder_known, TimePoint now)
{
    if (!m_large)
        return Step::ReadUnlessLarge;
    if (!m_read_all_at)
        begin(now);
    if (has_duty || now >= *m_read_all_at)
        return Step::ReadAll;
    if ((!holder_known || m_find_again) && now >= m_find_at) {
        m_find_again = false;
        m_find_at = now + m_find_pause.next(m_random());
        return Step::FindHolder;
    }
    if (holder_known && now >= m_ask_at) {
        m_ask_at = now + ask_pause;
        return Step::AskHolder;
    }
    return Step::Wait;
}

} // namespace crosslink
