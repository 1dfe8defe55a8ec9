// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "change_signal.h"

#include <crosslink/base/time.h>

#include <memory>
#include <mutex>

namespace crosslink
{

/// How long those who call a server may take.
struct TimeLimits {
    /// A connection without a request is closed after this time.
    Micros idle = std::chrono::seconds(15);
    /// A head must be whole in this time from its first byte.
    Micros head = std::chrono::seconds(10);

    bool operator==(const TimeLimits&) const = default;
};

/// The limits in force of one server. Connections that rest are woken by each
/// change, so that it takes hold of them at once.
class ConnectionTimes
{
public:
    /// Limits, and the signal of their next change.
    struct InForce {
        TimeLimits limits;
        std::shared_ptr<const ChangeSignal> changed;
    };

    explicit ConnectionTimes(TimeLimits limits = {});

    /// Puts `limits` in force.
    void change(const TimeLimits& limits);
    /// Wakes connections that rest, without a change.
    void wake();
    InForce in_force() const;

private:
    mutable std::mutex m_mutex;
    InForce m_in_force;
};

} // namespace crosslink
