// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// How long the answers of a service took to begin, by the number of tokens
/// that their runners had to prefill. Observations lose half of their weight
/// with each half_life.
class ResponseTimes
{
public:
    /// An instance of a large fleet sends one or two calls a second to a
    /// service, of which enough must count.
    static constexpr Micros half_life = std::chrono::seconds(30);
    /// Nothing is known below this total weight of observations.
    static constexpr double min_weight = 20;

    /// Records that an answer began `taken` after its call was sent, with
    /// `tokens` to prefill. For a call that was given up without an answer,
    /// `taken` is when: leaving it out would lower the quantiles.
    void add(std::string_view service, std::uint64_t tokens, Micros taken,
             TimePoint now);
    /// Returns the time within which the part `quantile` of the answers to
    /// calls of similar size began, rounded up by a fifth at most; nothing if
    /// too little is known.
    std::optional<Micros> quantile(std::string_view service,
                                   std::uint64_t tokens, double quantile,
                                   TimePoint now) const;

private:
    /// Each is twice as large as the one before; the last has no upper end.
    static constexpr std::size_t size_classes = 8;
    static constexpr std::size_t buckets = 64;

    /// The times of one size class of a service.
    struct Times {
        std::array<double, buckets> weights{}; ///< As of `at`.
        TimePoint at{};
    };

    static std::size_t size_class(std::uint64_t tokens);
    static double remaining(const Times& times, TimePoint now);

    std::map<std::string, std::array<Times, size_classes>, std::less<>>
        m_services;
};

} // namespace crosslink
