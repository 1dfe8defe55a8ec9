// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/lease_origin.h>

#include <cstdint>
#include <optional>

namespace crosslink
{

/// The lease of a duty, a role that one instance of the fleet holds at a time,
/// as its holder tracks it on its own steady clock. The holder stops well
/// before the lease can expire at the platform. A new holder starts only when
/// the last action of an earlier one can no longer be in flight.
class DutyLease
{
public:
    /// `settle` is the delay between the grant of the lease and the first
    /// action.
    explicit DutyLease(Micros settle) : m_settle(settle) {}

    /// Records a lease that was granted under `token` for `span` from
    /// `requested_at` on, the time of the request. Also called for extensions,
    /// whose `origin` does not count.
    void granted(std::uint64_t token, TimePoint requested_at, Micros span,
                 LeaseOrigin origin = LeaseOrigin::Free);
    /// Records that the lease has ended or that another instance holds it.
    void lost() { m_token.reset(); }

    /// Fraction of the lease that its holder uses. Clock rates agree within 1%;
    /// the rest of the unused part covers actions that are already in flight.
    static constexpr double used_fraction = 0.65;
    /// Returns the part of a lease of `span` in which its holder does not act.
    static Micros safety_margin(Micros span);
    /// Returns the delay between the grant of a lease of `span` and the first
    /// action that keeps the actions of two holders at least `spacing` apart.
    /// The earlier holder did not act in the unused part of its lease; one that
    /// releases its lease first waits for the same time without acting.
    static Micros takeover_delay(Micros spacing, Micros span);

    /// Returns whether this instance holds the duty at `now`.
    bool held(TimePoint now) const;
    /// Returns whether it holds the duty, or held it less than `grace` ago.
    bool held_within(Micros grace, TimePoint now) const;
    /// Returns whether it holds the duty and may act.
    bool may_act(TimePoint now) const;
    /// Returns for how long it may still act; zero where it may not.
    Micros time_left(TimePoint now) const;
    /// Returns the fencing token, which grows with each new holder; 0 before
    /// the first lease and after lost().
    std::uint64_t token() const { return m_token.value_or(0); }

private:
    Micros delay(LeaseOrigin origin, Micros span) const;

    const Micros m_settle;
    std::optional<std::uint64_t> m_token;
    TimePoint m_acts_from{};
    TimePoint m_until{};
};

} // namespace crosslink
