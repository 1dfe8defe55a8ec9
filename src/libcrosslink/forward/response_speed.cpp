// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/response_speed.h>

#include <algorithm>
#include <cmath>

namespace crosslink
{

namespace
{

/// Weight of a new answer in the moving averages.
constexpr double answer_weight = 0.2;
/// Added to both times of a ratio: network and scheduling delays make the
/// ratios of very short times meaningless.
constexpr double base_seconds = 0.05;
/// Time constant with which the evidence of answers decays.
constexpr double evidence_seconds = 1;

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
    m_evidence = evidence(now);
    m_evidence.answers += 1;
    m_evidence.ratios += ratio;
    m_at = now;
}

SpeedEvidence
ResponseSpeed::evidence(TimePoint now) const
{
    if (m_at == TimePoint{} || now - m_at >= lifetime)
        return {};
    const double left = std::exp(-seconds(now - m_at) / evidence_seconds);
    return {left * m_evidence.answers, left * m_evidence.ratios};
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

double
pooled_ratio(const SpeedEvidence& evidence, double service)
{
    constexpr double expected_answers = 2;
    return (expected_answers * service + evidence.ratios) /
           (expected_answers + evidence.answers);
}

bool
is_drawn(double part, std::uint64_t draws)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(draws % steps) < part * steps;
}

Micros
ServiceSpeed::slowness(double process) const
{
    return from_seconds(std::max(process / ratio - 1, 0.0) * seconds(time));
}

Micros
slowness(const ResponseSpeed& process, const ResponseSpeed& service,
         TimePoint now)
{
    const ServiceSpeed mean{service.ratio(now), service.mean_time(now),
                            service.last()};
    return mean.slowness(process.ratio(now));
}

} // namespace crosslink
