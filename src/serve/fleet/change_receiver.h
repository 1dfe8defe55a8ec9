// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange.h"

#include <serve/coordinator/coordinator.h>
#include <serve/forward/forward_state.h>

#include <crosslink/base/time.h>
#include <crosslink/membership/change_log.h>
#include <crosslink/membership/lapse_window.h>
#include <crosslink/membership/restored_copy.h>

#include <mutex>
#include <optional>

namespace crosslink
{

/// Receives all changes of the platform's store, from the platform itself and
/// from other instances. Applies them in order, never reverts to an earlier
/// position, and keeps the time as of which they are known to be complete.
/// Thread-safe.
class ChangeReceiver
{
public:
    ChangeReceiver(ForwardState& state, Coordinator& coordinator);

    /// Applies an answer of the platform, which was complete at `confirmed`. It
    /// is dropped where other changes arrived meanwhile; the caller has to ask
    /// again.
    void apply_from_platform(const ChangePage& page, TimePoint confirmed);
    /// Applies changes from another instance, which were complete at
    /// `confirmed`. Entries may have expired in an outage of the platform as
    /// that instance sees it, for `lapse_window` more.
    void apply_from_peer(const ChangePage& page, TimePoint confirmed,
                         Micros lapse_window);
    /// Takes over what another instance knows of former holders of the duty,
    /// where that instance is at least at the position of the last snapshot
    /// received here. Without this, a fresh instance that took the duty would
    /// wait 8 s to be sure that no former holder still answers, while the
    /// stores stay full of parts of replaced weights.
    void merge_former_holders(const FormerHolders& seen);
    /// Returns what is known here of former holders.
    FormerHolders former_holders(TimePoint now);
    /// Records that the platform does not answer this instance.
    void note_platform_lost();

    /// Returns the position up to which the platform's store is known; nothing
    /// before the first snapshot.
    std::optional<StorePosition> position();
    /// Returns the changes after `position`, for another instance. A large
    /// snapshot is packed, and may be some seconds old: the changes since then
    /// follow with the next page.
    ChangePage changes_since(std::optional<StorePosition> position);
    /// Returns the time at `now` since the platform last confirmed that all
    /// changes are known here; a large time before the first confirmation.
    Micros age(TimePoint now);
    /// Returns how much older a page of changes_since() may be than age(), as
    /// that was before.
    Micros since_packed(const ChangePage& page, TimePoint now);
    /// Returns whether other instances deliver changes in time, so that this
    /// one need not ask the platform.
    bool peers_are_in_time(TimePoint now);
    /// Returns how much longer entries that are gone may have expired in an
    /// outage of the platform.
    Micros lapse_window(TimePoint now);

private:
    bool apply(const ChangePage& page, TimePoint confirmed,
               Micros lapse_window_of_sender);
    bool comes_from_copy(const ChangePage& page) const;
    void apply_to_state(const ChangePage& page, ChangesKind kind,
                        std::optional<TimePoint> lapsed);
    void note_fresh(const StorePosition& position, TimePoint now);
    void apply_restored(const ChangePage& differences, TimePoint now);
    void settle_restored(TimePoint now);
    void log_refused(const ChangePage& page) const;
    ChangePage packed_snapshot(std::optional<StorePosition> position);

    ForwardState& m_state;
    Coordinator& m_coordinator;
    std::mutex m_mutex;
    ChangeLog m_log;
    RestoredCopy m_restored;
    StorePosition m_snapshot_position; ///< Of the last snapshot.
    std::optional<TimePoint> m_confirmed;
    TimePoint m_peer_confirmed{}; ///< The same, by other instances only.
    bool m_platform_lost = false; ///< The platform does not answer.
    LapseWindow m_lapses;         ///< Unlisted runners may be healthy.
    /// Held while a snapshot is packed, before m_mutex.
    std::mutex m_packing_mutex;
    ChangePage m_packed; ///< The last snapshot that was packed.
    TimePoint m_packed_at{};
};

} // namespace crosslink
