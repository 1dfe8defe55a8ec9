// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/retry_window.h>

#include <algorithm>
#include <numeric>
#include <span>

namespace crosslink
{

namespace
{

/// Part of the budget that is granted; see the class.
constexpr double granted_part = 0.5;

double
sum(std::span<const std::uint32_t> counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

/// Returns the count of the slot with the number `slot`.
template<typename Values>
std::uint32_t&
count_of(Values& values, std::int64_t slot)
{
    return values[static_cast<std::size_t>(slot) % values.size()];
}

} // namespace

RetryWindow::Counts&
RetryWindow::advance(std::string_view service, TimePoint now)
{
    const auto found = m_services.find(service);
    Counts& counts = found != m_services.end()
                         ? found->second
                         : m_services[std::string(service)];
    const auto slot_time = m_rules.window / static_cast<int>(slots);
    const std::int64_t slot = now.time_since_epoch() / slot_time;
    const std::int64_t first =
        std::max(counts.slot + 1, slot - static_cast<std::int64_t>(slots) + 1);
    for (std::int64_t i = first; i <= slot; ++i) {
        count_of(counts.calls, i) = 0;
        count_of(counts.retries, i) = 0;
        count_of(counts.hedges, i) = 0;
        count_of(counts.refusals, i) = 0;
    }
    counts.slot = std::max(counts.slot, slot);
    return counts;
}

void
RetryWindow::called(std::string_view service, TimePoint now)
{
    Counts& counts = advance(service, now);
    ++count_of(counts.calls, counts.slot);
}

bool
RetryWindow::take(std::string_view service, std::size_t instances,
                  TimePoint now)
{
    Counts& counts = advance(service, now);
    const double share =
        1.0 / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double budget = granted_part * (m_rules.ratio * sum(counts.calls) +
                                          m_rules.allowance * share);
    if (sum(counts.retries) + 1 > budget)
        return false;
    ++count_of(counts.retries, counts.slot);
    return true;
}

void
RetryWindow::refused(std::string_view service, TimePoint now)
{
    Counts& counts = advance(service, now);
    ++count_of(counts.refusals, counts.slot);
}

/// The calls of this instance alone bound its copies: unlike the allowance,
/// the ratio needs no share of what the fleet may send.
bool
RetryWindow::take_hedge(std::string_view service, std::size_t instances,
                        TimePoint now)
{
    Counts& counts = advance(service, now);
    const double used = sum(counts.hedges) + sum(counts.refusals);
    if (used + 1 > m_rules.hedge_ratio * sum(counts.calls))
        return false;
    if (!take(service, instances, now))
        return false;
    ++count_of(counts.hedges, counts.slot);
    return true;
}

} // namespace crosslink
