// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Which client accounts have had more than their part of what limited runners
/// of a service take. Answers an account that sends ten times as many calls as
/// the others: where calls are taken as they come, it would get ten times as
/// many places.
class FairShareTracker
{
public:
    /// Takes note that a call of `account` asks for a place.
    void asked(std::string_view service, std::string_view account,
               TimePoint now);
    /// Takes note that a call of `account` got one.
    void taken(std::string_view service, std::string_view account,
               TimePoint now);
    /// Returns whether `account` lately got more places than the mean of those
    /// that asked.
    bool is_ahead(std::string_view service, std::string_view account,
                  TimePoint now) const;

private:
    struct Use {
        double places = 0; ///< Got lately; halves with time.
        TimePoint counted_at{};
        TimePoint asked_at{};
    };
    using Accounts = std::map<std::string, Use, std::less<>>;

    Use& use_of(std::string_view service, std::string_view account);

    std::map<std::string, Accounts, std::less<>> m_services;
};

} // namespace crosslink
