// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <optional>

namespace crosslink
{

/// Decides whether an entry that is gone from the platform's store may have
/// expired in an outage of the store, so that its owner may be healthy.
///
/// An entry expires when its owner has not written it for three heartbeats. An
/// outage of less than two can't cause that. A watch that is cut, a request
/// that fails once, or news that come late from another instance are no outage:
/// the store answers the next request.
class LapseWindow
{
public:
    /// Owners of entries write them every `heartbeat`.
    explicit LapseWindow(Micros heartbeat);

    /// Records that the store did not answer a request of this instance.
    void failed(TimePoint now);
    /// Records that the store is known as of `confirmed`: it answered this
    /// instance, or another one that told it. The other one's window is open
    /// for `window_of_sender` more; it counts only where this instance, too,
    /// knew nothing of the store for as long as an outage.
    void answered(TimePoint confirmed, TimePoint now,
                  Micros window_of_sender = Micros{0});
    /// Records that the store was restored from a copy, which may lack entries
    /// whose owners are healthy.
    void restored(TimePoint now);

    /// Returns until when entries that are gone may have expired in an outage;
    /// nothing if they can't have.
    std::optional<TimePoint> until(TimePoint now) const;
    /// Returns how much longer the window is open; 0 if it is closed.
    Micros remaining(TimePoint now) const;

private:
    void open(TimePoint until);

    const Micros m_shortest_outage;
    std::optional<TimePoint> m_confirmed;
    std::optional<TimePoint> m_failing_since;
    TimePoint m_until{};
};

} // namespace crosslink
