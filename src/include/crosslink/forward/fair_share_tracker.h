// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/account_usage.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// Tracks how much each client account got of services that are short of
/// capacity, at all instances, and tells which accounts are above their fair
/// share. Without it, an account that sends ten times as many calls as the
/// others would get ten times as many places, because calls are served in order
/// of arrival. An account alone is never above its share, and what others leave
/// may be used by all.
class FairShareTracker
{
public:
    /// Time for which the usage that other instances reported counts. Without
    /// it, an instance decides by its own calls.
    static constexpr Micros others_lifetime = std::chrono::milliseconds(1500);
    /// Largest number of accounts of a service that are reported to others:
    /// those that got most, which alone can be above their share.
    static constexpr std::size_t max_reported = 64;

    /// Records that a call of `account` requests a place.
    void asked(std::string_view service, std::string_view account,
               TimePoint now);
    /// Records that a call of `account` was granted `places`.
    void taken(std::string_view service, std::string_view account,
               double places, TimePoint now);
    /// Returns whether `account` was recently granted more than the mean of the
    /// accounts that recently requested something.
    bool is_ahead(std::string_view service, std::string_view account,
                  TimePoint now);

    /// Returns the recent usage at this instance, for others.
    AccountUsages report(TimePoint now) const;
    /// Sets the usage at all other instances, as of `as_of`.
    void set_others(const AccountUsages& others, TimePoint as_of);

private:
    struct Usage {
        double places = 0; ///< Granted; decays exponentially.
        TimePoint counted_at{};
        TimePoint requested_at{};
    };
    using Accounts = std::map<std::string, Usage, std::less<>>;
    using Places = std::map<std::string, double, std::less<>>;
    /// Usage of a service by all accounts that recently requested something.
    struct Total {
        double own = 0;    ///< Places granted here, as of `at`.
        double others = 0; ///< Places granted at other instances.
        std::size_t accounts = 0;
        TimePoint at{};
        TimePoint counted_at{}; ///< When the accounts were gone through.
        bool counts_others = false;
    };
    struct Service {
        Accounts accounts;
        Places others; ///< At all other instances.
        /// Worked out a few times a second only; nothing if it is outdated.
        std::optional<Total> total;
    };
    /// The usage by one account, and by the mean account.
    struct Comparison {
        double own = 0;
        double mean = 0;
    };

    Usage& usage_of(Service& service, std::string_view account);
    Comparison compare(std::string_view service, std::string_view account,
                       TimePoint now);
    const Total& total_of(Service& service, TimePoint now) const;
    static void add_service(std::string_view service, const Accounts& accounts,
                            TimePoint now, AccountUsages& usages);
    bool counts_others(TimePoint now) const;

    Service& service_of(std::string_view service);

    std::map<std::string, Service, std::less<>> m_services;
    TimePoint m_others_at{};
};

} // namespace crosslink
