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
/// Pause between two questions for the holder of the duty.
constexpr Micros find_pause = std::chrono::milliseconds(250);
/// Pause between two questions to the holder: the parents that it names learn
/// from their own meanwhile.
constexpr Micros ask_pause = std::chrono::seconds(1);

} // namespace

StartPlan::Step
StartPlan::next(bool has_duty, bool holder_known, TimePoint now)
{
    if (!m_large)
        return Step::ReadUnlessLarge;
    if (has_duty)
        return Step::ReadAll;
    if (!m_read_all_at) {
        const auto span = static_cast<std::uint64_t>(read_span.count());
        m_read_all_at =
            now + patience + Micros(static_cast<Micros::rep>(m_random % span));
        m_find_at = now + find_pause;
    }
    if (now >= *m_read_all_at)
        return Step::ReadAll;
    if (holder_known && now >= m_ask_at) {
        m_ask_at = now + ask_pause;
        return Step::AskHolder;
    }
    if (!holder_known && now >= m_find_at) {
        m_find_at = now + find_pause;
        return Step::FindHolder;
    }
    return Step::Wait;
}

} // namespace crosslink
