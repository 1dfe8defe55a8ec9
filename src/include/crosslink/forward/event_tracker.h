// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// Tracks a stream of events (text/event-stream) over several runs, and passes
/// on only complete events, each once and in order.
class EventTracker
{
public:
    /// Largest event that is held until it is complete.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// `last_event` is the number of the last event that the caller received in
    /// an earlier call, or nothing if it received none.
    explicit EventTracker(std::optional<std::uint64_t> last_event);

    /// Adds bytes of the current run. Returns the complete events that the
    /// caller does not have yet.
    std::string take(std::string_view bytes);
    /// Starts another run, which continues after last_event(). An incomplete
    /// event of the previous run is dropped.
    void begin_run();
    /// Returns the number of the last event that was passed on.
    std::optional<std::uint64_t> last_event() const { return m_last; }
    /// Returns whether the bytes so far end within an event.
    bool within_event() const { return !m_rest.empty(); }
    /// Returns whether a run skipped an event, or sent more than
    /// max_event_bytes without an end of an event. The stream must not be used
    /// then.
    bool gap() const { return m_gap; }

private:
    std::optional<std::uint64_t> m_last;
    std::string m_rest; ///< The beginning of an incomplete event.
    bool m_gap = false;
};

} // namespace crosslink
