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

/// Returns how long after the grant of a lease of `span` the part of an earlier
/// lease ends in which its holder may have acted, beyond what is usual: a
/// holder whose lease expires stopped acting a safety margin before.
Micros
earlier_use(LeaseOrigin origin, Micros span)
{
    switch (origin) {
    case LeaseOrigin::OwnEarlierProcess:
        return DutyLease::safety_margin(span);
    case LeaseOrigin::StoreRestored:
        return span;
    case LeaseOrigin::Free:
    case LeaseOrigin::OwnActingProcess:
    case LeaseOrigin::Continued:
        break;
    }
    return Micros{0};
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
/// action.
Micros
DutyLease::delay(LeaseOrigin origin, Micros span) const
{
    // What the earlier process has sent may still arrive.
    if (origin == LeaseOrigin::OwnActingProcess)
        return std::min(max_action_flight_time, m_settle);
    return earlier_use(origin, span) + m_settle;
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
