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

/// What processes said of themselves that the platform does not list now. An
/// entry may lapse and come back while its process lives on.
class UnlistedNotices
{
public:
    /// Keeps what the process said, where it said anything.
    void keep(const RunnerIncarnation& runner, const RunnerNotices& notices);
    /// Returns what the process said, and lets go of that and of what earlier
    /// ones under its id said.
    RunnerNotices take(const RunnerIncarnation& runner);
    /// Returns the words of the process, to be added to; null where a later one
    /// under its id has said something.
    RunnerNotices* find(const RunnerIncarnation& runner);
    /// Forgets those of which nothing is to be expected any more at `now`.
    void expire(TimePoint now);

private:
    struct Kept {
        std::uint64_t start_ms = 0;
        RunnerNotices notices;
    };

    std::map<std::string, Kept, std::less<>> m_kept; ///< By id.
};

} // namespace crosslink
