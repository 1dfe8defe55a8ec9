// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/reread_plan.h>

#include <algorithm>
#include <cstdint>

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
RereadPlan::history_lost(const StorePosition& position, const RereadRole& role,
                         TimePoint now)
{
    if (is_lost(position))
        return;
    m_lost = position;
    const auto span = static_cast<std::uint64_t>(
        std::max(read_span(role), Micros{1}).count());
    m_read_at = now + Micros(static_cast<Micros::rep>(m_random() % span));
}

bool
RereadPlan::is_due(const StorePosition& position, bool has_duty,
                   TimePoint now) const
{
    return is_lost(position) && (has_duty || now >= m_read_at);
}

bool
RereadPlan::must_wait(const StorePosition& position, TimePoint now) const
{
    return is_lost(position) && now < m_read_at;
}

} // namespace crosslink
