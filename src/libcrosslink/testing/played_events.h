// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <functional>
#include <queue>
#include <utility>

namespace crosslink::testing
{

/// What happens in a simulation, in the order of its times. A base class of
/// simulations.
class PlayedEvents
{
protected:
    /// Nothing happens after `time`.
    explicit PlayedEvents(Micros time) : m_end(TimePoint{} + time) {}
    ~PlayedEvents() = default;

    /// Lets `act` happen `span` from now.
    void in(Micros span, std::function<void()> act)
    {
        if (m_now + span < m_end)
            m_events.push({m_now + span, std::move(act)});
    }

    /// Goes on until nothing more happens.
    void run_events()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.act();
        }
    }

    TimePoint m_now{};

private:
    struct Event {
        TimePoint at{};
        std::function<void()> act;
        bool operator<(const Event& other) const { return at > other.at; }
    };

    const TimePoint m_end;
    std::priority_queue<Event> m_events;
};

} // namespace crosslink::testing
