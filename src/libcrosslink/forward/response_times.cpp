// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/response_times.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace crosslink
{

namespace
{

/// Upper end of the first bucket, in seconds.
constexpr double first_end = 0.001;
/// Upper end of each further bucket, as a multiple of the one before. All of
/// them reach beyond a minute.
constexpr double growth = 1.2;
/// Upper end of the first size class, in tokens.
constexpr std::uint64_t first_class_end = 256;

double
bucket_end(std::size_t bucket)
{
    return first_end * std::pow(growth, static_cast<double>(bucket));
}

} // namespace

std::size_t
ResponseTimes::size_class(std::uint64_t tokens)
{
    const auto width =
        static_cast<std::size_t>(std::bit_width(tokens / first_class_end));
    return std::min(width, size_classes - 1);
}

/// Returns the part of the weights that is left at `now`.
double
ResponseTimes::remaining(const Times& times, TimePoint now)
{
    const Micros age =
        std::max(std::chrono::duration_cast<Micros>(now - times.at), Micros{0});
    return decay(age, half_life);
}

void
ResponseTimes::add(std::string_view service, std::uint64_t tokens, Micros taken,
                   TimePoint now)
{
    const auto found = m_services.find(service);
    auto& classes = found != m_services.end()
                        ? found->second
                        : m_services[std::string(service)];
    Times& times = classes[size_class(tokens)];
    const double left = remaining(times, now);
    for (double& weight : times.weights)
        weight *= left;
    times.at = std::max(times.at, now);
    std::size_t bucket = 0;
    while (bucket + 1 < buckets && seconds(taken) > bucket_end(bucket))
        ++bucket;
    times.weights[bucket] += 1;
}

std::optional<Micros>
ResponseTimes::quantile(std::string_view service, std::uint64_t tokens,
                        double quantile, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const Times& times = found->second[size_class(tokens)];
    const double total =
        std::accumulate(times.weights.begin(), times.weights.end(), 0.0);
    if (total * remaining(times, now) < min_weight)
        return std::nullopt;
    double below = 0;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        below += times.weights[bucket];
        if (below >= quantile * total)
            return from_seconds(bucket_end(bucket));
    }
    return from_seconds(bucket_end(buckets - 1));
}

} // namespace crosslink
