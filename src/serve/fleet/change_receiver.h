// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange.h"

#include <serve/coordinator/coordinator.h>
#include <serve/forward/forward_state.h>

#include <crosslink/base/time.h>
#include <crosslink/membership/change_log.h>

#include <cstdint>
#include <mutex>
#include <optional>

namespace crosslink
{

/// The one way of the platform's news into this instance, whether the platform
/// told them or another instance: in order, never backwards, and with the time
/// as of which they are known to be all. Safe for many threads.
class ChangeReceiver
{
public:
    ChangeReceiver(ForwardState& state, Coordinator& coordinator);

    /// Takes in what the platform answered, which was all at `confirmed`. It is
    /// dropped where other news came in meanwhile: it is to be asked anew.
    void told_by_platform(const ChangePage& page, TimePoint confirmed);
    /// Takes in what another instance told, which was all at `confirmed`.
    void told_by_instance(const ChangePage& page, TimePoint confirmed);
    /// Takes over what another instance has seen of earlier holders of the
    /// duty, where it reaches up to what is known here. A fresh instance that
    /// took the duty waited 8 s to show that no earlier holder tells, and the
    /// stores stayed full of parts of replaced weights.
    void learn_holders(const HoldersSeen& seen);
    /// Returns what is known here of earlier holders.
    HoldersSeen holders_seen(TimePoint now);
    /// Takes note that the platform gives this instance no answer.
    void lost();

    /// Returns up to where the platform's store is known.
    std::optional<std::uint64_t> place();
    /// Returns what follows `place`, for another instance.
    ChangePage since(std::optional<std::uint64_t> place);
    /// Returns how long ago at `now` the platform last told that all is known
    /// here; a large time before the first.
    Micros age(TimePoint now);
    /// Returns whether other instances tell this one the platform's news in
    /// time, so that it need not ask itself.
    bool told_in_time(TimePoint now);

private:
    bool take(const ChangePage& page, TimePoint confirmed);
    std::optional<TimePoint> lapsed_until(TimePoint now);

    ForwardState& m_state;
    Coordinator& m_coordinator;
    std::mutex m_mutex;
    ChangeLog m_log;
    std::uint64_t m_whole_place = 0; ///< Of the last whole page.
    std::optional<TimePoint> m_confirmed;
    TimePoint m_told_confirmed{}; ///< The same, by other instances alone.
    bool m_lost = false;          ///< The platform does not answer.
    TimePoint m_lapsed_until{};   ///< Runners that are not listed may be well.
};

} // namespace crosslink
