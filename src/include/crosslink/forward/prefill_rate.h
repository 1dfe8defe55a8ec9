// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace crosslink
{

/// Prompt tokens that an engine prefills in a millisecond, as long as nothing
/// else is known; current engines prefill 40 to 60.
inline constexpr double usual_prefill_rate = 50;

/// The rates at which the prompts of a service were prefilled, as a histogram.
/// The sum over instances is exact, and one odd rate moves no quantile by much.
struct PrefillSamples {
    /// Of equal width on a logarithmic scale, within the plausible rates.
    static constexpr std::size_t buckets = 64;

    std::array<std::uint32_t, buckets> counts{};
    std::uint64_t age_sum_ms = 0; ///< Sum of the ages of all samples.

    bool operator==(const PrefillSamples&) const = default;
    PrefillSamples& operator+=(const PrefillSamples& other);
    PrefillSamples& operator-=(const PrefillSamples& other);
    /// Returns the number of samples.
    std::uint64_t count() const;
    /// Returns the mean age of the samples; 0 if there are none.
    Micros mean_age() const;
    /// Adds the time for which the samples were on their way.
    void age_by(Micros span);
    /// Returns the rate, in tokens per millisecond, below which `part` of the
    /// samples are. There must be samples.
    double quantile(double part) const;
};

/// Learns how fast the engines of a service prefill prompts, from the times of
/// first events here and at other instances.
class PrefillRate
{
public:
    /// Time for which a sample counts. The rate is a property of the engines
    /// and their software, which change within minutes at the earliest.
    static constexpr Micros lifetime = std::chrono::seconds(60);
    /// Time for which the samples of other instances count after a report.
    static constexpr Micros report_lifetime = std::chrono::seconds(3);

    /// Records that the first event came `taken` after a prompt was sent to
    /// `runner`, which prefilled all of its `tokens`, and before which other
    /// prompts were expected to take `wait`. Short prompts, and those that
    /// waited, say little of the rate and are ignored.
    void prefilled(std::string_view runner, std::uint64_t tokens, Micros wait,
                   Micros taken, TimePoint now);
    /// Discards the samples of a process that has ended.
    void forget(std::string_view runner);
    /// Returns the samples of this instance.
    PrefillSamples samples(TimePoint now) const;
    /// Sets the samples of all other instances, as of `as_of`.
    void set_others(const PrefillSamples& samples, TimePoint as_of);
    /// Returns the tokens that a typical engine of the service prefills in a
    /// millisecond: usual_prefill_rate until enough is known, and where what is
    /// known is close to it.
    double tokens_per_ms(TimePoint now) const;

private:
    struct Sample {
        std::size_t bucket = 0;
        std::string runner;
        TimePoint at{};
    };

    std::deque<Sample> m_samples; ///< The oldest one first.
    PrefillSamples m_others;
    TimePoint m_others_at{};
};

} // namespace crosslink
