// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "news_intake.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// News that are older come from an instance that has lost the platform or its
/// own parent. The holder of the duty hears of the platform each 0.4 s, and
/// each of two exchanges adds 0.15 s; a change must be in force in two seconds.
constexpr Micros in_time = std::chrono::milliseconds(1200);
/// Without any word for so long, the platform may have been away for all.
/// Waits for its answers take 1.8 s and less.
constexpr Micros longest_silence = std::chrono::milliseconds(2500);
/// Entries of runners that lapsed while the platform was away are back within
/// two seconds of its return, as its operators say; less the time in which a
/// call reaches its runner.
constexpr Micros lapsed_time = std::chrono::milliseconds(1800);
/// Longer than any age that counts.
constexpr Micros never = std::chrono::hours(1);

} // namespace

NewsIntake::NewsIntake(ForwardState& state, Steward& steward)
    : m_state(state), m_steward(steward)
{
}

void
NewsIntake::told_by_platform(const NewsPage& page, TimePoint confirmed)
{
    const std::lock_guard lock(m_mutex);
    take(page, confirmed);
}

void
NewsIntake::told_by_instance(const NewsPage& page, TimePoint confirmed)
{
    const std::lock_guard lock(m_mutex);
    if (take(page, confirmed))
        m_told_confirmed = std::max(m_told_confirmed, confirmed);
}

bool
NewsIntake::take(const NewsPage& page, TimePoint confirmed)
{
    const TimePoint now = monotonic_now();
    // News of long ago, taken at a start, say nothing of the platform now.
    const bool fresh = now - confirmed <= longest_silence;
    if (!m_log.take(page))
        return false;
    const auto lapsed = fresh ? lapsed_until(now) : std::nullopt;
    if (page.whole)
        m_whole_place = page.place;
    m_confirmed = std::max(m_confirmed.value_or(confirmed), confirmed);
    if (fresh) {
        m_state.fleet.with(
            [now](FleetView& view) { view.reach.regained(now); });
        if (m_lost)
            LogLine("platform_regained").field("place", page.place);
        m_lost = false;
    }
    if (!page.whole && page.entries.empty())
        return true;
    m_state.take(m_state.ports.feed.decode(page), page.whole, lapsed);
    m_steward.fleet_changed();
    return true;
}

/// Returns until when runners that are not listed any more may be well: the
/// platform was away until a moment ago.
std::optional<TimePoint>
NewsIntake::lapsed_until(TimePoint now)
{
    if (m_lost || (m_confirmed && now - *m_confirmed > longest_silence))
        m_lapsed_until = now + lapsed_time;
    if (now < m_lapsed_until)
        return m_lapsed_until;
    return std::nullopt;
}

void
NewsIntake::learn_holders(const HoldersSeen& seen)
{
    const std::lock_guard lock(m_mutex);
    if (!m_log.place() || seen.place < m_whole_place)
        return;
    std::vector<HolderHistory::Ended> ended;
    ended.reserve(seen.ended.size());
    const TimePoint now = monotonic_now();
    // Counted from now, all is later than it was: no grace is cut short.
    for (const HoldersSeen::Ended& item : seen.ended)
        ended.push_back({item.address, now - item.ago});
    m_state.fleet.with([&](FleetView& view) {
        view.holders.learn(now - seen.watched, ended);
    });
}

HoldersSeen
NewsIntake::holders_seen(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    HoldersSeen seen;
    seen.place = m_log.place().value_or(0);
    m_state.fleet.with([&](const FleetView& view) {
        seen.watched = now - view.holders.from();
        for (const HolderHistory::Ended& item : view.holders.ended())
            seen.ended.push_back({item.address, now - item.at});
    });
    return seen;
}

void
NewsIntake::lost()
{
    const std::lock_guard lock(m_mutex);
    m_lost = true;
    m_state.fleet.with(
        [](FleetView& view) { view.reach.lost(monotonic_now()); });
}

std::optional<std::uint64_t>
NewsIntake::place()
{
    const std::lock_guard lock(m_mutex);
    return m_log.place();
}

NewsPage
NewsIntake::since(std::optional<std::uint64_t> place)
{
    const std::lock_guard lock(m_mutex);
    return m_log.since(place);
}

Micros
NewsIntake::age(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return m_confirmed ? now - *m_confirmed : never;
}

bool
NewsIntake::told_in_time(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return now - m_told_confirmed <= in_time;
}

} // namespace crosslink
