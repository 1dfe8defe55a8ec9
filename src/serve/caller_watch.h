// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "duty.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace crosslink
{

/// Detects callers that disconnect while their request waits for an upstream,
/// so that the upstream's work can be canceled at once.
class CallerWatch
{
public:
    CallerWatch();

    /// Watches `socket` until forget(). Calls `gone` once, from the duty's
    /// thread, when the caller has closed the connection. Returns the number to
    /// pass to forget().
    std::uint64_t watch(int socket, std::function<void()> gone);
    /// Ends a watch. `gone` is not called after this function has returned.
    void forget(std::uint64_t number);

private:
    struct Watched {
        int socket;
        std::function<void()> gone;
    };

    Micros round();

    std::mutex m_mutex;
    std::map<std::uint64_t, Watched> m_watched;
    std::uint64_t m_next = 1;
    Duty m_duty;
};

} // namespace crosslink
