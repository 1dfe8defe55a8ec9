// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/response_speed.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Weight of a new answer in the moving averages.
constexpr double answer_weight = 0.2;
/// Added to both times of a ratio: network and scheduling delays make the
/// ratios of very short times meaningless.
constexpr double base_seconds = 0.05;

} // namespace

void
ResponseSpeed::answered(Micros expected, Micros taken, TimePoint now)
{
    const double ratio =
        std::min((base_seconds + seconds(taken)) /
                     (base_seconds + std::max(seconds(expected), 0.0)),
                 max_ratio);
    const bool is_first = m_at == TimePoint{} || now - m_at >= lifetime;
    const double before = this->ratio(now);
    m_ratio = before + answer_weight * (ratio - before);
    m_seconds = is_first
                    ? seconds(taken)
                    : m_seconds + answer_weight * (seconds(taken) - m_seconds);
    m_at = now;
}

double
ResponseSpeed::ratio(TimePoint now) const
{
    if (m_at == TimePoint{} || now - m_at >= lifetime)
        return 1;
    const double left = 1 - seconds(now - m_at) / seconds(lifetime);
    return 1 + (m_ratio - 1) * left;
}

Micros
ResponseSpeed::mean_time(TimePoint now) const
{
    if (m_at == TimePoint{} || now - m_at >= lifetime)
        return Micros{0};
    return from_seconds(m_seconds);
}

Micros
slowness(const ResponseSpeed& process, const ResponseSpeed& service,
         TimePoint now)
{
    const double excess = process.ratio(now) / service.ratio(now) - 1;
    return from_seconds(std::max(excess, 0.0) *
                        seconds(service.mean_time(now)));
}

} // namespace crosslink
