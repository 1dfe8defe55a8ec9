// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <algorithm>

namespace crosslink
{

/// A token bucket that is refilled with `rate` units per second, up to `burst`.
class TokenBucket
{
public:
    /// Takes `amount` units at `now`. Returns whether they were available. An
    /// amount larger than the burst is granted by a full bucket, whose level
    /// then becomes negative.
    bool take(double amount, double rate, double burst, TimePoint now)
    {
        refill(rate, burst, now);
        if (m_units < std::min(amount, burst))
            return false;
        m_units -= amount;
        return true;
    }

    /// Returns the time until `amount` units are available.
    Micros wait_for(double amount, double rate, double burst) const
    {
        const double missing = std::min(amount, burst) - m_units;
        return from_seconds(std::max(missing, 0.0) / rate);
    }

    /// Adds `amount` units, or takes them where it is negative.
    void give_back(double amount) { m_units += amount; }

private:
    void refill(double rate, double burst, TimePoint now)
    {
        if (!m_started) {
            m_units = burst;
            m_started = true;
        } else if (now > m_at) {
            m_units = std::min(burst, m_units + rate * seconds(now - m_at));
        }
        m_at = std::max(m_at, now);
    }

    bool m_started = false;
    double m_units = 0;
    TimePoint m_at{};
};

} // namespace crosslink
