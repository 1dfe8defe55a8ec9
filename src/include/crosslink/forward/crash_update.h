// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crosslink
{

/// One key of a call that was in flight at a runner when the runner's process
/// ended.
struct InterruptedCall {
    std::string key; ///< Of its request or of a part; see crash_key.h.
    std::string runner;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
    /// True if the call was sent although the instance already knew that
    /// another runner had ended under the key, with no answer since.
    bool again = false;
    TimePoint ended_at{}; ///< When the end was detected.
};

/// What instances report to each other about keys under which runners ended.
/// Durations count back from the time of the report.
struct CrashUpdate {
    /// See InterruptedCall.
    struct Broken {
        std::string key;
        std::string runner;
        std::uint64_t start_ms = 0;
        bool again = false;
        Micros since_end{0};
    };
    /// A key with which a runner answered; see CrashHistory::answered().
    struct Answered {
        std::string key;
        Micros since{0};
    };

    /// A key that failed at one more runner, for which it is not yet known
    /// whether the runner's process ended.
    struct Held {
        std::string key;
        Micros since{0};
    };

    std::vector<Broken> broken;
    std::vector<Answered> answered;
    std::vector<Held> held;

    bool empty() const
    {
        return broken.empty() && answered.empty() && held.empty();
    }
};

} // namespace crosslink
