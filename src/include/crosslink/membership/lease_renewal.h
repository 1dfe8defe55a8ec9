// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

namespace crosslink
{

/// When the holder of a lease extends it. One try that gets no answer, on a
/// connection that fell silent, must not end the part of the lease that the
/// holder uses: the duty passed on then, and for 4.6 s nobody gave orders,
/// where 0.8 s are lost with a try that is refused.
class LeaseRenewal
{
public:
    /// For a lease of `span`.
    explicit LeaseRenewal(Micros span) : m_span(span) {}

    /// Returns the time between the ends of two tries.
    Micros pause() const { return m_span / 5; }
    /// Returns how long a try waits for its answer; for a lease of 2 s twice
    /// what a slow platform takes.
    Micros attempt_timeout() const { return m_span / 5; }
    /// Returns the time between a try that failed and the next.
    Micros retry_delay() const { return m_span / 20; }

private:
    Micros m_span;
};

} // namespace crosslink
