// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/duty_lease.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Upper limit of the time for which an action of an earlier holder is in
/// flight.
constexpr Micros max_action_flight_time = std::chrono::milliseconds(400);

/// Returns the part of a lease of `span` in which its holder acts.
Micros
used_part(Micros span)
{
    return span - DutyLease::safety_margin(span);
}

} // namespace

Micros
DutyLease::safety_margin(Micros span)
{
    const auto count = static_cast<double>(span.count());
    return Micros(static_cast<Micros::rep>(count * (1 - used_fraction)));
}

Micros
DutyLease::takeover_delay(Micros spacing, Micros span)
{
    return spacing - safety_margin(span) + max_action_flight_time;
}

/// Returns the delay between the grant of a lease of `span` and the first
/// action. The usual one counts on an earlier holder whose lease expired: it
/// stopped acting a safety margin before.
Micros
DutyLease::delay(LeaseOrigin origin, Micros span) const
{
    switch (origin) {
    case LeaseOrigin::OwnEarlierProcess:
        return m_settle + safety_margin(span);
    case LeaseOrigin::OwnActingProcess:
        // What that process has sent may still arrive.
        return std::min(max_action_flight_time, m_settle);
    case LeaseOrigin::StoreRestored:
        return m_settle + span;
    case LeaseOrigin::Free:
    case LeaseOrigin::Continued:
        break;
    }
    return m_settle;
}

void
DutyLease::granted(std::uint64_t token, TimePoint requested_at, Micros span,
                   LeaseOrigin origin)
{
    if (m_token != token && origin != LeaseOrigin::Continued)
        m_acts_from = requested_at + delay(origin, span);
    m_token = token;
    m_until = std::max(m_until, requested_at + used_part(span));
}

bool
DutyLease::held(TimePoint now) const
{
    return m_token && now < m_until;
}

bool
DutyLease::held_within(Micros grace, TimePoint now) const
{
    return m_until != TimePoint{} && now < m_until + grace;
}

bool
DutyLease::may_act(TimePoint now) const
{
    return held(now) && now >= m_acts_from;
}

Micros
DutyLease::time_left(TimePoint now) const
{
    return may_act(now) ? m_until - now : Micros{0};
}

} // namespace crosslink
