// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/reported_slowness.h>

#include <crosslink/forward/speed_report.h>

namespace crosslink
{

void
ReportedSlowness::apply(const SpeedRow& row, TimePoint as_of)
{
    const TimePoint at = as_of - row.mean_age();
    if (row.reports == 0 || at <= m_at)
        return;
    m_evidence = row.evidence();
    m_is_stalled = row.stalled >= min_stall_reports;
    m_at = at;
}

double
ReportedSlowness::ratio(double service) const
{
    return pooled_ratio(m_evidence, service);
}

bool
ReportedSlowness::counts(std::uint64_t draw, TimePoint now) const
{
    if (m_at == TimePoint{} || now - m_at >= lifetime)
        return false;
    return is_drawn(1 - seconds(now - m_at) / seconds(lifetime), draw);
}

} // namespace crosslink
