// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace crosslink
{

struct RunnerIncarnation;

/// The processes of runners that the platform lately reported as leaving or
/// gone. A copy of its store that is some seconds old may list them as ready.
class EndedProcesses
{
public:
    /// Records that the platform reported the process as leaving or gone.
    void add(const RunnerIncarnation& runner);
    /// Records that the platform reported the process as ready.
    void remove(const RunnerIncarnation& runner);
    bool contains(const RunnerIncarnation& runner) const;
    /// Discards what was recorded more than one to two minutes before `now`.
    void expire(TimePoint now);

private:
    using Processes = std::set<std::pair<std::string, std::uint64_t>>;

    Processes m_recent;  ///< Since the last rotation.
    Processes m_earlier; ///< Between the last two.
    TimePoint m_rotate_at{};
};

} // namespace crosslink
