// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// Follows a stream of events (text/event-stream) over several runs of it,
/// and lets through only whole events, each once, in order.
class EventTracker
{
public:
    /// `last_event` is the number of the last event that the caller has from
    /// an earlier call; nothing where it has none.
    explicit EventTracker(std::optional<std::uint64_t> last_event);

    /// Takes in bytes of the current run. Returns the whole events that the
    /// caller does not have yet.
    std::string take(std::string_view bytes);
    /// Begins with another run that goes on after last_event(); what the
    /// earlier one left unfinished is dropped.
    void begin_run();
    /// Returns the number of the last event let through.
    std::optional<std::uint64_t> last_event() const { return m_last; }
    /// True where the bytes taken end within an event.
    bool within_event() const { return !m_rest.empty(); }
    /// True where a run left out an event: the stream is not to be used.
    bool gap() const { return m_gap; }

private:
    std::optional<std::uint64_t> m_last;
    std::string m_rest; ///< The beginning of an event.
    bool m_gap = false;
};

} // namespace crosslink
