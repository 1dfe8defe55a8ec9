// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_notices.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Notices of processes that the platform does not list now. An entry may
/// expire and return while its process is running.
class UnlistedNotices
{
public:
    /// Stores the notices of the process, unless they are empty.
    void keep(const RunnerIncarnation& runner, const RunnerNotices& notices);
    /// Returns the notices of the process, and discards them along with those
    /// of earlier processes under its id.
    RunnerNotices take(const RunnerIncarnation& runner);
    /// Returns the stored notices of the process, to be updated; null if a
    /// later process under its id has given some.
    RunnerNotices* find(const RunnerIncarnation& runner);
    /// Discards the notices that are not needed any more at `now`.
    void expire(TimePoint now);

private:
    struct Stored {
        std::uint64_t start_ms = 0;
        RunnerNotices notices;
    };

    std::map<std::string, Stored, std::less<>> m_stored; ///< By id.
};

} // namespace crosslink
