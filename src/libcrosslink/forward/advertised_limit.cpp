// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/advertised_limit.h>

namespace crosslink
{

namespace
{

/// Time for which the end of a limit is reported to other instances. An
/// instance that was cut off for less than this learns of the end from the
/// others; one that was cut off for longer, from the runner.
constexpr Micros end_report_time = std::chrono::seconds(60);

} // namespace

bool
AdvertisedLimit::apply_answer(double per_second, std::uint64_t known,
                              TimePoint now)
{
    if (known != m_change)
        return false;
    ++m_confirmations;
    m_confirmed_at = now;
    if (per_second == m_per_second)
        return false;
    m_per_second = per_second;
    m_changed_at = now;
    ++m_change;
    return true;
}

bool
AdvertisedLimit::merge(const LimitUpdate& update, TimePoint now)
{
    const bool is_newer = update.change > m_change;
    const bool is_lower =
        update.change == m_change && update.per_second < m_per_second;
    if (update.confirmations > m_confirmations) {
        m_confirmations = update.confirmations;
        m_confirmed_at = now;
    }
    if (!is_newer && !is_lower)
        return false;
    const bool changed = update.per_second != m_per_second;
    m_per_second = update.per_second;
    m_change = update.change;
    m_changed_at = now;
    return changed;
}

bool
AdvertisedLimit::needs_reporting(TimePoint now) const
{
    return in_force() || (m_change > 0 && now < m_changed_at + end_report_time);
}

} // namespace crosslink
