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
constexpr Micros kept_for = std::chrono::minutes(10);

} // namespace

void
UnlistedNotices::keep(const RunnerIncarnation& runner,
                      const RunnerNotices& notices)
{
    if (notices.empty())
        return;
    Kept& kept = m_kept[std::string(runner.id)];
    if (runner.start_ms >= kept.start_ms)
        kept = {runner.start_ms, notices};
}

RunnerNotices
UnlistedNotices::take(const RunnerIncarnation& runner)
{
    const auto found = m_kept.find(runner.id);
    if (found == m_kept.end() || found->second.start_ms > runner.start_ms)
        return {};
    const Kept kept = found->second;
    m_kept.erase(found);
    return kept.start_ms == runner.start_ms ? kept.notices : RunnerNotices();
}

RunnerNotices*
UnlistedNotices::find(const RunnerIncarnation& runner)
{
    Kept& kept = m_kept[std::string(runner.id)];
    if (runner.start_ms < kept.start_ms)
        return nullptr;
    if (runner.start_ms > kept.start_ms)
        kept = {runner.start_ms, {}};
    return &kept.notices;
}

void
UnlistedNotices::expire(TimePoint now)
{
    std::erase_if(m_kept, [now](const auto& item) {
        const RunnerNotices& notices = item.second.notices;
        return now >=
               std::max(notices.heard_at + kept_for, notices.backoff_until);
    });
}

} // namespace crosslink
