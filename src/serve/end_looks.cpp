// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "end_looks.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// Between two rounds where nothing is due: a break nudges the next one.
constexpr Micros idle_pause = std::chrono::seconds(60);
constexpr Micros least_pause = std::chrono::milliseconds(20);

} // namespace

EndLooks::EndLooks(Guarded<UnresolvedFailures>& breaks, Nudger& added,
                   Found found, Settle settle)
    : m_breaks(breaks), m_added(added), m_found(std::move(found)),
      m_settle(std::move(settle)),
      m_duty("end_looks", [this] { return round(); })
{
    m_added.set(&m_duty);
}

EndLooks::~EndLooks()
{
    m_added.set(nullptr);
}

Micros
EndLooks::round()
{
    const auto ports = m_breaks.with([](UnresolvedFailures& breaks) {
        return breaks.take_due(monotonic_now());
    });
    for (const ProbeTarget& port : ports)
        m_found(port, look_at_port(port.address));
    m_settle();
    const auto next = m_breaks.with(
        [](const UnresolvedFailures& breaks) { return breaks.next_due(); });
    if (!next)
        return idle_pause;
    return std::clamp(
        std::chrono::duration_cast<Micros>(*next - monotonic_now()),
        least_pause, idle_pause);
}

} // namespace crosslink
