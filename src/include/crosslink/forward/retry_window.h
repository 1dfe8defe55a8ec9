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

/// How many repeats the whole fleet may send to a service.
struct RetryRules {
    double ratio = 0.2;    ///< Repeats for each call of the window.
    double allowance = 50; ///< Repeats beside those, in a window.
    Micros window = std::chrono::seconds(10);
};

/// This instance's part of the fleet's retry budget. Instances do not talk
/// about it: each gives out repeats in proportion to its own calls, and an
/// equal share of the allowance. Only half of both is given out, because
/// the number of instances may be off by those that just came or went.
class RetryWindow
{
public:
    explicit RetryWindow(RetryRules rules) : m_rules(rules) {}

    /// Takes note of a call for `service`.
    void called(std::string_view service, TimePoint now);
    /// Returns whether a repeat may be sent to `service` while the fleet has
    /// `instances` (at least 1), and takes it from the budget.
    bool take(std::string_view service, std::size_t instances, TimePoint now);

private:
    static constexpr std::size_t slots = 10;
    struct Counts {
        std::array<std::uint32_t, slots> calls{};
        std::array<std::uint32_t, slots> repeats{};
        std::int64_t slot = 0; ///< Number of the newest slot.
    };

    Counts& advance(std::string_view service, TimePoint now);

    const RetryRules m_rules;
    std::map<std::string, Counts, std::less<>> m_services;
};

} // namespace crosslink
