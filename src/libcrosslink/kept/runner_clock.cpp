// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/runner_clock.h>

namespace crosslink
{

void
RunnerClock::set(RunnerMillis clock, TimePoint now)
{
    m_reported = clock;
    m_reported_at = now;
}

void
RunnerClock::advance(RunnerMillis clock, TimePoint now)
{
    if (clock > m_reported)
        set(clock, now);
}

RunnerMillis
RunnerClock::at(TimePoint now) const
{
    if (!is_known())
        return 0;
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - m_reported_at);
    return m_reported + static_cast<RunnerMillis>(since.count());
}

} // namespace crosslink
