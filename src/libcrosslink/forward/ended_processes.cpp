// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/ended_processes.h>
#include <crosslink/forward/runner_entry.h>

namespace crosslink
{

namespace
{

/// Longer than the age of any copy from which the platform's store comes back.
constexpr Micros rotation = std::chrono::minutes(1);

std::pair<std::string, std::uint64_t>
key_of(const RunnerIncarnation& runner)
{
    return {std::string(runner.id), runner.start_ms};
}

} // namespace

void
EndedProcesses::add(const RunnerIncarnation& runner)
{
    m_recent.insert(key_of(runner));
}

void
EndedProcesses::remove(const RunnerIncarnation& runner)
{
    m_recent.erase(key_of(runner));
    m_earlier.erase(key_of(runner));
}

bool
EndedProcesses::contains(const RunnerIncarnation& runner) const
{
    const auto key = key_of(runner);
    return m_recent.contains(key) || m_earlier.contains(key);
}

void
EndedProcesses::expire(TimePoint now)
{
    if (now < m_rotate_at)
        return;
    m_earlier = std::move(m_recent);
    m_recent.clear();
    m_rotate_at = now + rotation;
}

} // namespace crosslink
