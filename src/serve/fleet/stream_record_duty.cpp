// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "stream_record_duty.h"

#include <adapters/clock.h>
#include <serve/forward/forward_state.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/stream_registry.h>

#include <string_view>

namespace crosslink
{

namespace
{

/// Time between two rounds where nothing wakes the duty.
constexpr Micros idle_pause = std::chrono::seconds(60);

} // namespace

StreamRecordDuty::StreamRecordDuty(ForwardState& state)
    : m_state(state),
      m_duty(
          "stream_record", [this] { return round(); }, Duty::Begin::OnWake)
{
    m_state.stream_began.set_duty(&m_duty);
}

StreamRecordDuty::~StreamRecordDuty()
{
    m_state.stream_began.set_duty(nullptr);
}

Micros
StreamRecordDuty::round()
{
    const TimePoint now = monotonic_now();
    if (now < m_next)
        return std::chrono::duration_cast<Micros>(m_next - now);
    if (!record_open())
        return idle_pause;
    const Micros pause = stream_record_pause(m_state.instance_count(),
                                             m_state.settings.platform_writes);
    m_next = now + pause;
    return pause;
}

/// Records the streams of this instance. Returns whether there is any that was
/// not recorded before.
bool
StreamRecordDuty::record_open()
{
    const auto mixed = m_state.mixed_services();
    const auto open = m_state.origins.with([&mixed](StreamOrigins& origins) {
        return origins.to_record(
            [&mixed](std::string_view service) {
                return mixed.contains(service);
            },
            monotonic_now());
    });
    if (!open)
        return false;
    try {
        m_state.ports.streams.record(*open);
        m_state.origins.with(
            [&open](StreamOrigins& origins) { origins.recorded(*open); });
    } catch (const Error& failure) {
        LogLine("streams_not_recorded").field("error", failure.what());
    }
    return true;
}

} // namespace crosslink
