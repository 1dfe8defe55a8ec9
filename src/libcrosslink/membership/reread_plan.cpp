// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/reread_plan.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Time in which the platform sends one entry of some 350 bytes on half of a
/// link of 1 Gbit/s.
constexpr Micros time_per_entry{6};

/// Returns the span in which the platform can send all runners to all
/// instances that read them.
Micros
read_span(const RereadRole& role)
{
    const std::size_t readers =
        role.is_parent ? role.instances / max_children : role.instances;
    return time_per_entry * static_cast<Micros::rep>(readers * role.runners);
}

} // namespace

RereadPlan::RereadPlan(std::uint64_t random) : m_random(random)
{
}

void
RereadPlan::history_lost(std::uint64_t revision, const RereadRole& role,
                         TimePoint now)
{
    if (is_lost(revision))
        return;
    m_lost = revision;
    const auto span = static_cast<std::uint64_t>(
        std::max(read_span(role), Micros{1}).count());
    m_read_at = now + Micros(static_cast<Micros::rep>(m_random() % span));
}

bool
RereadPlan::is_due(std::uint64_t revision, bool has_duty, TimePoint now) const
{
    return is_lost(revision) && (has_duty || now >= m_read_at);
}

bool
RereadPlan::must_wait(std::uint64_t revision, bool has_duty,
                      TimePoint now) const
{
    return is_lost(revision) && !is_due(revision, has_duty, now);
}

} // namespace crosslink
