// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/unlisted_notices.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A process that is not listed for this long has ended: the platform lists a
/// running process within seconds after an outage of its own.
constexpr Micros retention = std::chrono::minutes(10);

} // namespace

void
UnlistedNotices::keep(const RunnerIncarnation& runner,
                      const RunnerNotices& notices)
{
    if (notices.empty())
        return;
    Stored& stored = m_stored[std::string(runner.id)];
    if (runner.start_ms >= stored.start_ms)
        stored = {runner.start_ms, notices};
}

RunnerNotices
UnlistedNotices::take(const RunnerIncarnation& runner)
{
    const auto found = m_stored.find(runner.id);
    if (found == m_stored.end() || found->second.start_ms > runner.start_ms)
        return {};
    const Stored stored = found->second;
    m_stored.erase(found);
    return stored.start_ms == runner.start_ms ? stored.notices
                                              : RunnerNotices();
}

RunnerNotices*
UnlistedNotices::find(const RunnerIncarnation& runner)
{
    Stored& stored = m_stored[std::string(runner.id)];
    if (runner.start_ms < stored.start_ms)
        return nullptr;
    if (runner.start_ms > stored.start_ms)
        stored = {runner.start_ms, {}};
    return &stored.notices;
}

void
UnlistedNotices::expire(TimePoint now)
{
    std::erase_if(m_stored, [now](const auto& item) {
        const RunnerNotices& notices = item.second.notices;
        return now >=
               std::max(notices.reported_at + retention, notices.backoff_until);
    });
}

} // namespace crosslink
