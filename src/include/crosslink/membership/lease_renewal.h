// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

namespace crosslink
{

/// The timing of attempts to extend a lease. One attempt that gets no answer,
/// on a connection that stopped responding, must not use up the part of the
/// lease in which the holder acts: the duty would move to another instance, and
/// nobody would give orders for 4.6 s, against 0.8 s after an attempt that is
/// refused.
class LeaseRenewal
{
public:
    /// For a lease of `span`.
    explicit LeaseRenewal(Micros span) : m_span(span) {}

    /// Returns the delay between two attempts.
    Micros pause() const { return m_span / 5; }
    /// Returns how long an attempt waits for its answer; for a lease of 2 s
    /// this is twice the answer time of a slow platform.
    Micros attempt_timeout() const { return m_span / 5; }
    /// Returns the delay between a failed attempt and the next.
    Micros retry_delay() const { return m_span / 20; }

private:
    Micros m_span;
};

} // namespace crosslink
