// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Tracks how many calls of each client account the limited runners of a
/// service accept, and tells which accounts are above their fair share. Without
/// it, an account that sends ten times as many calls as the others would get
/// ten times as many places, because calls are served in order of arrival.
class FairShareTracker
{
public:
    /// Records that a call of `account` requests a place.
    void asked(std::string_view service, std::string_view account,
               TimePoint now);
    /// Records that a call of `account` was granted a place.
    void taken(std::string_view service, std::string_view account,
               TimePoint now);
    /// Returns whether `account` was recently granted more places than the mean
    /// of the accounts that recently requested one.
    bool is_ahead(std::string_view service, std::string_view account,
                  TimePoint now) const;

private:
    struct Usage {
        double places = 0; ///< Granted; decays exponentially.
        TimePoint counted_at{};
        TimePoint requested_at{};
    };
    using Accounts = std::map<std::string, Usage, std::less<>>;

    Usage& usage_of(std::string_view service, std::string_view account);

    std::map<std::string, Accounts, std::less<>> m_services;
};

} // namespace crosslink
