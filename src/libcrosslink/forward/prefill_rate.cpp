// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/prefill_rate.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace crosslink
{

namespace
{

/// Plausible rates, in tokens per millisecond: a factor of ten to both sides of
/// the usual one.
constexpr double min_rate = usual_prefill_rate / 10;
constexpr double max_rate = usual_prefill_rate * 10;
/// Shortest prompt that counts, in tokens. Network, scheduling and the first
/// step take some 5 ms, and a tenth of the time that this one takes.
constexpr std::uint64_t min_tokens = 2000;
/// Greatest part of the time to the first event that may have been spent
/// waiting.
constexpr double max_wait_part = 0.1;
/// Samples that an instance keeps.
constexpr std::size_t max_samples = 64;
/// Samples from which on they count, and further ones until they count fully.
constexpr double first_samples = 8;
constexpr double blended_samples = 16;
/// The rate is this quantile: waits that were not known make prompts seem to be
/// prefilled more slowly, never faster. Rates that are too high come only from
/// prompts that were in an engine's memory, which are rare among the samples.
constexpr double typical_part = 0.75;
/// Deviations up to this part of the usual rate are ignored: they change no
/// decision, and samples vary as much.
constexpr double ignored_deviation = 0.15;

std::size_t
bucket_of(double rate)
{
    const double position =
        std::log(std::clamp(rate, min_rate, max_rate) / min_rate) /
        std::log(max_rate / min_rate) * PrefillSamples::buckets;
    return std::min(static_cast<std::size_t>(position),
                    PrefillSamples::buckets - 1);
}

/// Returns the rate in the middle of `bucket`.
double
rate_of(std::size_t bucket)
{
    const double position =
        (static_cast<double>(bucket) + 0.5) / PrefillSamples::buckets;
    return min_rate * std::pow(max_rate / min_rate, position);
}

} // namespace

PrefillSamples&
PrefillSamples::operator+=(const PrefillSamples& other)
{
    std::transform(counts.begin(), counts.end(), other.counts.begin(),
                   counts.begin(), std::plus<>());
    age_sum_ms += other.age_sum_ms;
    return *this;
}

PrefillSamples&
PrefillSamples::operator-=(const PrefillSamples& other)
{
    std::transform(counts.begin(), counts.end(), other.counts.begin(),
                   counts.begin(), std::minus<>());
    age_sum_ms -= other.age_sum_ms;
    return *this;
}

std::uint64_t
PrefillSamples::count() const
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

Micros
PrefillSamples::mean_age() const
{
    const std::uint64_t samples = std::max<std::uint64_t>(count(), 1);
    return std::chrono::milliseconds(age_sum_ms / samples);
}

void
PrefillSamples::age_by(Micros span)
{
    age_sum_ms += count() * whole_millis(span);
}

double
PrefillSamples::quantile(double part) const
{
    const double below = part * static_cast<double>(count());
    double seen = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < buckets; ++bucket) {
        seen += counts[bucket];
        if (seen > 0 && seen >= below)
            break;
    }
    return rate_of(bucket);
}

void
PrefillRate::prefilled(std::string_view runner, std::uint64_t tokens,
                       Micros wait, Micros taken, TimePoint now)
{
    if (tokens < min_tokens || taken <= Micros{0} ||
        seconds(wait) > max_wait_part * seconds(taken))
        return;
    const double rate = static_cast<double>(tokens) / in_milliseconds(taken);
    m_samples.push_back({bucket_of(rate), std::string(runner), now});
    while (m_samples.size() > max_samples ||
           now - m_samples.front().at >= lifetime)
        m_samples.pop_front();
}

void
PrefillRate::forget(std::string_view runner)
{
    std::erase_if(m_samples, [runner](const Sample& sample) {
        return sample.runner == runner;
    });
}

PrefillSamples
PrefillRate::samples(TimePoint now) const
{
    PrefillSamples samples;
    for (const Sample& sample : m_samples) {
        const Micros age = now - sample.at;
        if (age >= lifetime)
            continue;
        ++samples.counts[sample.bucket];
        samples.age_sum_ms += whole_millis(age);
    }
    return samples;
}

void
PrefillRate::set_others(const PrefillSamples& samples, TimePoint as_of)
{
    m_others = samples;
    m_others_at = as_of;
}

double
PrefillRate::tokens_per_ms(TimePoint now) const
{
    PrefillSamples known = samples(now);
    if (now - m_others_at < report_lifetime && m_others.mean_age() < lifetime)
        known += m_others;
    const auto count = static_cast<double>(known.count());
    if (count < first_samples)
        return usual_prefill_rate;
    const double factor = known.quantile(typical_part) / usual_prefill_rate;
    if (std::abs(factor - 1) <= ignored_deviation)
        return usual_prefill_rate;
    const double certainty =
        std::min((count - first_samples) / blended_samples, 1.0);
    return usual_prefill_rate * std::pow(factor, certainty);
}

} // namespace crosslink
