// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>

namespace crosslink
{

/// The lease of a duty that one instance of the fleet has at a time, as its
/// holder sees it by its own steady clock. The holder stops well before the
/// lease can lapse at the platform, and begins only after the time in which
/// an earlier holder's last act may still be on its way.
class DutyLease
{
public:
    /// `settle` is the time between taking the lease and the first act.
    explicit DutyLease(Micros settle) : m_settle(settle) {}

    /// Takes note of a lease: asked for at `asked`, granted for `span` from
    /// then on under `token`. Called for extensions too. With `replaces_own`,
    /// the earlier holder was a process of this instance that stopped a moment
    /// ago, not at the end of the part that it used of its lease.
    void granted(std::uint64_t token, TimePoint asked, Micros span,
                 bool replaces_own = false);
    /// Takes note that the lease is over, or that another holds it.
    void lost() { m_token.reset(); }

    /// Part of the lease that its holder uses. Clocks run alike within a
    /// percent; the rest is for acts that are already on their way.
    static constexpr double used_part = 0.65;
    /// Returns the part of a lease of `span` that its holder does not use.
    static Micros safety_margin(Micros span);
    /// Returns the time between taking a lease of `span` and the first act, so
    /// that the acts of two holders are `spacing` apart. The earlier one did
    /// nothing in the unused part of its lease; one that gives its lease back
    /// waits for as long first.
    static Micros takeover_delay(Micros spacing, Micros span);

    /// True where the duty is this instance's at `now`.
    bool held(TimePoint now) const;
    /// True where it is, or was until less than `grace` ago.
    bool held_within(Micros grace, TimePoint now) const;
    /// True where it is, and acts may be done.
    bool may_act(TimePoint now) const;
    /// Returns how long acts may still be done; zero where they may not.
    Micros time_left(TimePoint now) const;
    /// Returns the fencing token; grows with each new holder. 0 before the
    /// first lease.
    std::uint64_t token() const { return m_token.value_or(0); }

private:
    const Micros m_settle;
    std::optional<std::uint64_t> m_token;
    TimePoint m_since{};
    TimePoint m_until{};
};

} // namespace crosslink
