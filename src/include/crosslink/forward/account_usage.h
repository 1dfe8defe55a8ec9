// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/report_aggregator.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// What an account got of a service lately, at one or more instances.
struct AccountUsage {
    std::uint64_t millis = 0; ///< Places, or units of work, in thousandths.
    /// Instances at which it requested something lately.
    std::uint32_t instances = 0;

    bool operator==(const AccountUsage&) const = default;
    AccountUsage& operator+=(const AccountUsage& other)
    {
        millis += other.millis;
        instances += other.instances;
        return *this;
    }
    AccountUsage& operator-=(const AccountUsage& other)
    {
        millis -= other.millis;
        instances -= other.instances;
        return *this;
    }
};

/// By usage_key().
using AccountUsages = std::map<std::string, AccountUsage>;
/// Adds up what each instance reports.
using UsageAggregator = ReportAggregator<AccountUsage>;

/// Returns the key of an account's usage of a service.
std::string usage_key(std::string_view service, std::string_view account);

} // namespace crosslink
