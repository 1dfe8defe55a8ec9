// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "software_duty.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/software_registry.h>

#include <vector>

namespace crosslink
{

namespace
{

/// Pause between two rounds where no version is new. A version that is gone is
/// recorded that much longer.
constexpr Micros round_pause = std::chrono::seconds(1);

} // namespace

SoftwareDuty::SoftwareDuty(ForwardState& state)
    : m_state(state),
      m_duty(
          "served_software", [this] { return round(); }, Duty::Begin::OnStart)
{
}

Micros
SoftwareDuty::round()
{
    if (!m_state.has_duty())
        return round_pause;
    m_state.note_software();
    std::vector<ServedSoftware> served;
    std::vector<std::string> outdated;
    m_state.software.with([&](const SoftwareHistory& history) {
        served = history.to_record(monotonic_now());
        outdated = history.to_unrecord(monotonic_now());
    });
    try {
        for (const ServedSoftware& version : served)
            record(version);
        for (const std::string& id : outdated)
            unrecord(id);
        record_routes();
    } catch (const Error& failure) {
        LogLine("software_not_recorded").field("error", failure.what());
    }
    return round_pause;
}

void
SoftwareDuty::record(const ServedSoftware& served)
{
    m_state.ports.software.record(served);
    // The watch on the platform's store reports the record too, but the version
    // would be recorded again until then.
    m_state.software.with([&served](SoftwareHistory& history) {
        history.recorded(served, monotonic_now());
    });
    LogLine("software_recorded")
        .field("service", served.service)
        .field("software", served.software);
}

void
SoftwareDuty::record_routes()
{
    std::vector<RecordedRoutes> used;
    std::vector<std::string> outdated;
    m_state.routes.with([&](const RouteHistory& history) {
        used = history.to_record(monotonic_now());
        outdated = history.to_unrecord(monotonic_now());
    });
    for (const RecordedRoutes& routes : used) {
        m_state.ports.software.record(routes);
        m_state.routes.with([&routes](RouteHistory& history) {
            history.recorded(routes, monotonic_now());
        });
        LogLine("routes_recorded").field("record", routes.id);
    }
    for (const std::string& id : outdated) {
        m_state.ports.software.remove_routes(id);
        m_state.routes.with([&id](RouteHistory& history) {
            history.unrecorded(id, monotonic_now());
        });
        LogLine("routes_record_removed").field("record", id);
    }
}

void
SoftwareDuty::unrecord(const std::string& id)
{
    m_state.ports.software.remove(id);
    m_state.software.with(
        [&id](SoftwareHistory& history) { history.unrecorded(id); });
    LogLine("software_record_removed").field("record", id);
}

} // namespace crosslink
