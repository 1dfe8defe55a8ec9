// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "change_receiver.h"

#include "fleet_json.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace crosslink
{

namespace
{

/// Without any confirmation for so long, the platform may have been unavailable
/// to all instances. Waits for its answers take 1.8 s or less.
constexpr Micros max_silence = std::chrono::milliseconds(2500);
/// Number of keys from which a snapshot is sent packed.
constexpr std::size_t min_packed = 1000;
/// Time for which a packed snapshot is sent. Changes of that time come to the
/// fraction of a snapshot.
constexpr Micros packed_lifetime = std::chrono::seconds(5);
/// Longer than any limit on an age.
constexpr Micros unconfirmed_age = std::chrono::hours(1);

} // namespace

ChangeReceiver::ChangeReceiver(ForwardState& state, Coordinator& coordinator)
    : m_state(state), m_coordinator(coordinator),
      m_lapses(state.settings.runner_heartbeat())
{
}

void
ChangeReceiver::apply_from_platform(const ChangePage& page, TimePoint confirmed)
{
    const std::lock_guard lock(m_mutex);
    apply(page, confirmed, Micros{0});
}

void
ChangeReceiver::apply_from_peer(const ChangePage& page, TimePoint confirmed,
                                Micros lapse_window)
{
    const std::lock_guard lock(m_mutex);
    if (apply(page, confirmed, lapse_window))
        m_peer_confirmed = std::max(m_peer_confirmed, confirmed);
}

bool
ChangeReceiver::apply(const ChangePage& page, TimePoint confirmed,
                      Micros lapse_window_of_sender)
{
    const TimePoint now = monotonic_now();
    // An old state, which may be applied at a start, does not show that the
    // platform is available now.
    const bool fresh = now - confirmed <= max_silence;
    const bool restored = comes_from_copy(page);
    const ChangePage differences =
        restored ? m_log.differences(page) : ChangePage();
    if (!m_log.apply(page)) {
        if (page.is_snapshot)
            log_refused(page);
        return false;
    }
    if (fresh)
        m_lapses.answered(confirmed, now, lapse_window_of_sender);
    const auto lapsed = fresh ? m_lapses.until(now) : std::nullopt;
    if (page.is_snapshot)
        m_snapshot_position = page.position;
    m_confirmed = std::max(m_confirmed.value_or(confirmed), confirmed);
    if (fresh)
        note_fresh(page.position, now);
    if (restored)
        apply_restored(differences, now);
    else if (page.is_snapshot)
        apply_to_state(page, ChangesKind::Snapshot, lapsed);
    else if (!page.entries.empty())
        apply_to_state(page, ChangesKind::Update, lapsed);
    if (!restored)
        m_restored.written(page.entries);
    settle_restored(now);
    // Runners whose entries were lost are listed again within that time.
    if (!m_restored.is_pending() && !m_lapses.until(now))
        m_state.note_confirmed(*m_confirmed);
    return true;
}

/// Records that the platform answers, as of a moment ago.
void
ChangeReceiver::note_fresh(const StorePosition& position, TimePoint now)
{
    m_state.fleet.with([now](FleetView& view) { view.reach.regained(now); });
    if (m_platform_lost)
        LogLine("platform_regained")
            .field("era", position.era)
            .field("place", position.revision);
    m_platform_lost = false;
}

/// Returns whether `page` is of a store that was restored from a copy, for
/// whose keys others have the time to write theirs again.
bool
ChangeReceiver::comes_from_copy(const ChangePage& page) const
{
    const auto known = m_log.position();
    if (!page.is_snapshot || !known)
        return false;
    return page.position.era > known->era || m_restored.is_pending();
}

void
ChangeReceiver::apply_to_state(const ChangePage& page, ChangesKind kind,
                               std::optional<TimePoint> lapsed)
{
    m_state.apply_changes(m_state.ports.feed.decode(page), kind, lapsed);
    m_coordinator.fleet_changed();
}

/// Applies a copy from which the platform's store was restored, as far as it
/// may be newer than what is known.
void
ChangeReceiver::apply_restored(const ChangePage& differences, TimePoint now)
{
    LogLine("store_copy_read")
        .field("era", differences.position.era)
        .field("revision", differences.position.revision)
        .field("differences",
               static_cast<std::uint64_t>(differences.entries.size()));
    m_restored.begin(differences.entries, now);
    m_lapses.restored(now);
    m_coordinator.store_restored();
    apply_to_state(differences, ChangesKind::RestoredCopy, m_lapses.until(now));
}

/// Lets the keys that nobody has written again hold as the store has them.
void
ChangeReceiver::settle_restored(TimePoint now)
{
    const std::set<std::string> keys = m_restored.take_due(now);
    if (keys.empty())
        return;
    LogLine("store_copy_settled")
        .field("era", m_snapshot_position.era)
        .field("not_rewritten", static_cast<std::uint64_t>(keys.size()));
    apply_to_state(m_log.state_of(keys), ChangesKind::Update, std::nullopt);
}

/// Logs a snapshot that is older than what is known.
void
ChangeReceiver::log_refused(const ChangePage& page) const
{
    const StorePosition known = m_log.position().value_or(StorePosition{});
    LogLine("snapshot_refused")
        .field("known_era", known.era)
        .field("known", known.revision)
        .field("era", page.position.era)
        .field("revision", page.position.revision);
}

void
ChangeReceiver::merge_former_holders(const FormerHolders& seen)
{
    const std::lock_guard lock(m_mutex);
    if (!m_log.position() || seen.position < m_snapshot_position)
        return;
    std::vector<HolderHistory::Ended> ended;
    ended.reserve(seen.ended.size());
    const TimePoint now = monotonic_now();
    // Counted back from now, the ends seem later than they were, so that no
    // grace time is cut short.
    for (const FormerHolders::Ended& item : seen.ended)
        ended.push_back({item.address, now - item.ago});
    m_state.fleet.with([&](FleetView& view) {
        view.holders.learn(now - seen.observed_for, ended);
    });
}

FormerHolders
ChangeReceiver::former_holders(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    FormerHolders seen;
    seen.position = m_log.position().value_or(StorePosition{});
    m_state.fleet.with([&](const FleetView& view) {
        seen.observed_for = now - view.holders.from();
        for (const HolderHistory::Ended& item : view.holders.ended())
            seen.ended.push_back({item.address, now - item.at});
    });
    return seen;
}

void
ChangeReceiver::note_platform_lost()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = monotonic_now();
    m_platform_lost = true;
    m_lapses.failed(now);
    m_state.fleet.with([now](FleetView& view) { view.reach.lost(now); });
}

std::optional<StorePosition>
ChangeReceiver::position()
{
    const std::lock_guard lock(m_mutex);
    return m_log.position();
}

ChangePage
ChangeReceiver::changes_since(std::optional<StorePosition> position)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_log.needs_snapshot(position) || m_log.size() < min_packed)
            return m_log.since(position);
    }
    return packed_snapshot(position);
}

/// Returns a packed snapshot, which is made anew when it is too old. Many
/// instances that start at once get the same one.
ChangePage
ChangeReceiver::packed_snapshot(std::optional<StorePosition> position)
{
    const std::lock_guard packing(m_packing_mutex);
    ChangePage page;
    {
        const std::lock_guard lock(m_mutex);
        const bool usable = m_packed.packed &&
                            !m_log.needs_snapshot(m_packed.position) &&
                            monotonic_now() < m_packed_at + packed_lifetime;
        if (usable)
            return m_packed;
        page = m_log.since(position);
    }
    if (!page.is_snapshot)
        return page;
    page.packed =
        std::make_shared<const std::string>(pack_entries(page.entries));
    page.entries.clear();
    m_packed = page;
    m_packed_at = monotonic_now();
    return page;
}

Micros
ChangeReceiver::age(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return m_confirmed ? now - *m_confirmed : unconfirmed_age;
}

Micros
ChangeReceiver::since_packed(const ChangePage& page, TimePoint now)
{
    if (!page.packed)
        return Micros{0};
    const std::lock_guard packing(m_packing_mutex);
    return std::max(std::chrono::duration_cast<Micros>(now - m_packed_at),
                    Micros{0});
}

bool
ChangeReceiver::peers_are_in_time(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return now - m_peer_confirmed <= max_changes_age;
}

Micros
ChangeReceiver::lapse_window(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return m_lapses.remaining(now);
}

} // namespace crosslink
