// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/fair_share_tracker.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

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
constexpr double millis_per_place = 1000;
/// Between a service and an account in a key; in the name of neither.
constexpr char key_separator = '\n';

double
decayed(double places, Micros age)
{
    return places * std::exp2(-seconds(age) / seconds(half_life));
}

/// Leaves only the `count` largest of `usages`.
void
keep_largest(AccountUsages& usages, std::size_t count)
{
    if (usages.size() <= count)
        return;
    std::vector<std::uint64_t> sizes;
    for (const auto& [key, usage] : usages)
        sizes.push_back(usage.millis);
    const auto last = sizes.begin() + static_cast<std::ptrdiff_t>(count) - 1;
    std::nth_element(sizes.begin(), last, sizes.end(), std::greater<>());
    const std::uint64_t least = *last;
    std::erase_if(usages, [least](const auto& item) {
        return item.second.millis < least;
    });
}

} // namespace

std::string
usage_key(std::string_view service, std::string_view account)
{
    return std::string(service) + key_separator + std::string(account);
}

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
                        double places, TimePoint now)
{
    Usage& usage = usage_of(service, account);
    usage.places = decayed(usage.places, now - usage.counted_at) + places;
    usage.counted_at = now;
}

bool
FairShareTracker::is_ahead(std::string_view service, std::string_view account,
                           TimePoint now) const
{
    AccountUsages usages;
    const auto accounts = m_services.find(service);
    if (accounts != m_services.end())
        add_service(service, accounts->second, now, usages);
    if (counts_others(now)) {
        const std::string first = usage_key(service, {});
        for (auto row = m_others.lower_bound(first);
             row != m_others.end() && row->first.starts_with(first); ++row)
            usages[row->first] += row->second;
    }
    double total = 0;
    for (const auto& [key, usage] : usages)
        total += static_cast<double>(usage.millis);
    const auto own = usages.find(usage_key(service, account));
    if (own == usages.end())
        return false;
    const double mean = total / static_cast<double>(usages.size());
    return static_cast<double>(own->second.millis) >
           mean + tolerance * millis_per_place;
}

/// Adds the usage of the accounts that recently requested something.
void
FairShareTracker::add_service(std::string_view service,
                              const Accounts& accounts, TimePoint now,
                              AccountUsages& usages)
{
    for (const auto& [account, usage] : accounts) {
        if (now - usage.requested_at > active_time)
            continue;
        const double places = decayed(usage.places, now - usage.counted_at);
        usages[usage_key(service, account)] += {
            static_cast<std::uint64_t>(std::llround(places * millis_per_place)),
            1};
    }
}

bool
FairShareTracker::counts_others(TimePoint now) const
{
    return now - m_others_at <= others_lifetime;
}

AccountUsages
FairShareTracker::report(TimePoint now) const
{
    AccountUsages usages;
    for (const auto& [service, accounts] : m_services) {
        AccountUsages of_service;
        add_service(service, accounts, now, of_service);
        keep_largest(of_service, max_reported);
        usages.merge(of_service);
    }
    return usages;
}

void
FairShareTracker::set_others(AccountUsages others, TimePoint as_of)
{
    m_others = std::move(others);
    m_others_at = as_of;
}

} // namespace crosslink
