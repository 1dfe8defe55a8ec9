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
/// Time after which accounts that have stopped to request something are looked
/// for; short compared to active_time.
constexpr Micros recount_time = std::chrono::milliseconds(250);
/// Part of a place by which accounts may differ and still count as equal.
constexpr double tolerance = 0.1;
constexpr double millis_per_place = 1000;
/// Between a service and an account in a key; in the name of neither.
constexpr char key_separator = '\n';

double
decayed(double places, Micros age)
{
    return places * decay(age, half_life);
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

FairShareTracker::Service&
FairShareTracker::service_of(std::string_view service)
{
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second
                                     : m_services[std::string(service)];
}

FairShareTracker::Usage&
FairShareTracker::usage_of(Service& service, std::string_view account)
{
    const auto found = service.accounts.find(account);
    return found != service.accounts.end()
               ? found->second
               : service.accounts[std::string(account)];
}

void
FairShareTracker::asked(std::string_view service, std::string_view account,
                        TimePoint now)
{
    Service& of_service = service_of(service);
    Usage& usage = usage_of(of_service, account);
    if (now - usage.requested_at > active_time)
        of_service.total.reset();
    usage.requested_at = now;
}

void
FairShareTracker::taken(std::string_view service, std::string_view account,
                        double places, TimePoint now)
{
    Service& of_service = service_of(service);
    Usage& usage = usage_of(of_service, account);
    usage.places = decayed(usage.places, now - usage.counted_at) + places;
    usage.counted_at = now;
    if (of_service.total && now - usage.requested_at <= active_time) {
        Total& total = *of_service.total;
        total.own = decayed(total.own, now - total.at) + places;
        total.at = now;
    }
}

bool
FairShareTracker::is_ahead(std::string_view service, std::string_view account,
                           TimePoint now)
{
    const Comparison compared = compare(service, account, now);
    return compared.own > compared.mean + tolerance;
}

FairShareTracker::Comparison
FairShareTracker::compare(std::string_view service, std::string_view account,
                          TimePoint now)
{
    Service& of_service = service_of(service);
    const Total& total = total_of(of_service, now);
    Comparison compared;
    if (total.accounts > 0)
        compared.mean = (decayed(total.own, now - total.at) + total.others) /
                        static_cast<double>(total.accounts);
    const auto own = of_service.accounts.find(account);
    if (own != of_service.accounts.end() &&
        now - own->second.requested_at <= active_time)
        compared.own =
            decayed(own->second.places, now - own->second.counted_at);
    const auto others = of_service.others.find(account);
    if (total.counts_others && others != of_service.others.end())
        compared.own += others->second;
    return compared;
}

/// Returns the usage of `service` by all accounts. The accounts are gone
/// through again only if those that count may have changed.
const FairShareTracker::Total&
FairShareTracker::total_of(Service& service, TimePoint now) const
{
    if (service.total && now - service.total->counted_at < recount_time &&
        service.total->counts_others == counts_others(now))
        return *service.total;
    Total total;
    total.at = total.counted_at = now;
    total.counts_others = counts_others(now);
    for (const auto& [account, usage] : service.accounts) {
        if (now - usage.requested_at > active_time)
            continue;
        total.own += decayed(usage.places, now - usage.counted_at);
        ++total.accounts;
    }
    if (total.counts_others)
        for (const auto& [account, places] : service.others) {
            const auto own = service.accounts.find(account);
            total.others += places;
            total.accounts +=
                own == service.accounts.end() ||
                        now - own->second.requested_at > active_time
                    ? 1
                    : 0;
        }
    return service.total.emplace(total);
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
    for (const auto& [service, item] : m_services) {
        AccountUsages of_service;
        add_service(service, item.accounts, now, of_service);
        keep_largest(of_service, max_reported);
        usages.merge(of_service);
    }
    return usages;
}

void
FairShareTracker::set_others(const AccountUsages& others, TimePoint as_of)
{
    for (auto& [service, item] : m_services) {
        item.others.clear();
        item.total.reset();
    }
    for (const auto& [key, usage] : others) {
        const auto split = key.find(key_separator);
        if (split == std::string::npos)
            continue;
        service_of(std::string_view(key).substr(0, split))
            .others.emplace(key.substr(split + 1),
                            static_cast<double>(usage.millis) /
                                millis_per_place);
    }
    m_others_at = as_of;
}

} // namespace crosslink
