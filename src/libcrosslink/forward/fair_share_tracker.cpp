// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/fair_share_tracker.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace crosslink
{

namespace
{

/// Accounts that requested nothing in this time do not count.
constexpr Micros active_time = std::chrono::seconds(5);
/// Half-life of granted places.
constexpr Micros half_life = std::chrono::seconds(5);
/// Part of a place by which accounts may differ and still count as equal.
constexpr double tolerance = 0.1;

double
decayed(double places, Micros age)
{
    return places * std::exp2(-seconds(age) / seconds(half_life));
}

} // namespace

FairShareTracker::Usage&
FairShareTracker::usage_of(std::string_view service, std::string_view account)
{
    Accounts& accounts =
        m_services.try_emplace(std::string(service)).first->second;
    return accounts.try_emplace(std::string(account)).first->second;
}

void
FairShareTracker::asked(std::string_view service, std::string_view account,
                        TimePoint now)
{
    usage_of(service, account).requested_at = now;
}

void
FairShareTracker::taken(std::string_view service, std::string_view account,
                        TimePoint now)
{
    Usage& usage = usage_of(service, account);
    usage.places = decayed(usage.places, now - usage.counted_at) + 1;
    usage.counted_at = now;
}

bool
FairShareTracker::is_ahead(std::string_view service, std::string_view account,
                           TimePoint now) const
{
    const auto accounts = m_services.find(service);
    if (accounts == m_services.end())
        return false;
    std::size_t active = 0;
    double total = 0;
    double own = 0;
    for (const auto& [name, usage] : accounts->second) {
        if (now - usage.requested_at > active_time)
            continue;
        const double places = decayed(usage.places, now - usage.counted_at);
        ++active;
        total += places;
        if (name == account)
            own = places;
    }
    const double mean =
        total / static_cast<double>(std::max<std::size_t>(active, 1));
    return own > mean + tolerance;
}

} // namespace crosslink
