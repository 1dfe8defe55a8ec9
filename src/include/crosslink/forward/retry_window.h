// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Limits on the retries that the whole fleet sends to a service.
struct RetryRules {
    double ratio = 0.2;    ///< Retries per call in the window.
    double allowance = 50; ///< Further retries in each window.
    Micros window = std::chrono::seconds(10);
    /// Of the retries, second copies of calls that no runner has answered yet,
    /// per call in the window; see HedgePolicy. 0 for none.
    double hedge_ratio = 0;
};

/// This instance's part of the fleet's retry budget. Instances do not
/// communicate about it: each grants retries in proportion to its own calls,
/// plus an equal share of the allowance. Only half of both is granted, because
/// the known number of instances may be off by those that just joined or left.
class RetryWindow
{
public:
    explicit RetryWindow(RetryRules rules) : m_rules(rules) {}

    /// Records a call for `service`.
    void called(std::string_view service, TimePoint now);
    /// Returns whether a retry may be sent to `service` while the fleet has
    /// `instances` (at least 1), and deducts it from the budget.
    bool take(std::string_view service, std::size_t instances, TimePoint now);
    /// Records that a runner of `service` refused a call for want of room, or
    /// that this instance did on behalf of the runners.
    void refused(std::string_view service, TimePoint now);
    /// As take(), for a second copy of a call, which counts as a retry too.
    /// Refusals take up the same limit: a service that is short of capacity
    /// has none for copies.
    bool take_hedge(std::string_view service, std::size_t instances,
                    TimePoint now);
    /// Returns whether the rules allow second copies of calls.
    bool hedges() const { return m_rules.hedge_ratio > 0; }

private:
    static constexpr std::size_t slots = 10;
    struct Counts {
        std::array<std::uint32_t, slots> calls{};
        std::array<std::uint32_t, slots> retries{};
        std::array<std::uint32_t, slots> hedges{}; ///< Of the retries.
        std::array<std::uint32_t, slots> refusals{};
        std::int64_t slot = 0; ///< Number of the newest slot.
    };

    Counts& advance(std::string_view service, TimePoint now);

    const RetryRules m_rules;
    std::map<std::string, Counts, std::less<>> m_services;
};

} // namespace crosslink
