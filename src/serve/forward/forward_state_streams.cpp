// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardState that records which software serves, and which began
// the streams that callers take up.

#include "forward_state.h"

#include <adapters/clock.h>

#include <crosslink/base/error.h>
#include <crosslink/forward/software_evidence.h>
#include <crosslink/membership/change_page.h>

#include <algorithm>

namespace crosslink
{

bool
ForwardState::is_mixed(std::string_view service)
{
    observe_software();
    const TimePoint now = monotonic_now();
    return software.with([&](const SoftwareHistory& history) {
        return history.several(service, now);
    }) || routes.with([&](const RouteHistory& history) {
        return history.shared(service, now);
    });
}

std::set<std::string, std::less<>>
ForwardState::mixed_services()
{
    observe_software();
    const TimePoint now = monotonic_now();
    auto services = software.with(
        [now](const SoftwareHistory& history) { return history.mixed(now); });
    services.merge(routes.with(
        [now](const RouteHistory& history) { return history.shared(now); }));
    return services;
}

void
ForwardState::note_software()
{
    if (mixed_services().empty())
        return;
    origin_noted.wake();
    stream_began.wake();
}

void
ForwardState::observe_software()
{
    const SoftwareCounts listed =
        runners.with([](const RunnerTable& table) { return table.software(); });
    software.with([&listed](SoftwareHistory& history) {
        history.observe(listed, monotonic_now());
    });
}

void
ForwardState::note_confirmed(TimePoint at)
{
    // Only the receiver of changes calls this, one call after the other.
    if (at <= m_confirmed_at.load())
        return;
    m_confirmed_at = at;
    platform_changed.notify();
}

Micros
ForwardState::changes_age(TimePoint now) const
{
    return std::chrono::duration_cast<Micros>(now - m_confirmed_at.load());
}

bool
ForwardState::knows_changes_until(TimePoint at, TimePoint latest,
                                  const std::function<bool()>& is_enough)
{
    const auto is_known = [this, at] {
        return SoftwareEvidence::list_shows_it(m_confirmed_at, at);
    };
    platform_changed.wait(latest - monotonic_now(),
                          [&] { return is_known() || is_enough(); });
    return is_known();
}

bool
ForwardState::is_out_of_step()
{
    return changes_age(monotonic_now()) > max_changes_age ||
           !reaches_platform();
}

bool
ForwardState::tells_origins(std::string_view service)
{
    return is_mixed(service) || is_out_of_step();
}

bool
ForwardState::serves(std::string_view service, std::string_view version)
{
    return runners.with([&](const RunnerTable& table) {
        const auto versions = table.software().find(service);
        return versions != table.software().end() &&
               versions->second.contains(version);
    });
}

std::optional<std::string>
ForwardState::only_software(std::string_view service)
{
    observe_software();
    return software.with([service](const SoftwareHistory& history) {
        return history.only(service, monotonic_now());
    });
}

std::vector<StreamOrigin>
ForwardState::streams_of(const std::string& name)
{
    auto known = origins.with(
        [](const StreamOrigins& all) { return all.all(monotonic_now()); });
    const auto instances =
        fleet.with([](const FleetView& view) { return view.instances; });
    std::erase_if(known, [&](const StreamOrigin& origin) {
        const auto homes = crosslink::stream_homes(instances, origin.stream);
        return std::none_of(
            homes.begin(), homes.end(),
            [&name](const InstanceInfo& home) { return home.name == name; });
    });
    return known;
}

std::vector<InstanceInfo>
ForwardState::stream_homes(std::string_view stream)
{
    auto homes = fleet.with([&](const FleetView& view) {
        return crosslink::stream_homes(view.instances, stream);
    });
    std::erase_if(homes, [this](const InstanceInfo& home) {
        return home.name == settings.name;
    });
    return homes;
}

void
ForwardState::read_stream_records(TimePoint asked, TimePoint latest)
{
    const Micros pause =
        stream_reading_pause(instance_count(), settings.platform_reads);
    m_stream_records.read(ports.streams, asked, latest, pause,
                          [this](const SoftwareCounts& served) {
                              software.with(
                                  [&served](SoftwareHistory& history) {
                                      history.observe(served, monotonic_now());
                                  });
                          });
}

std::optional<StreamOrigin>
ForwardState::recorded_stream(std::string_view stream)
{
    return m_stream_records.find(stream);
}

} // namespace crosslink
