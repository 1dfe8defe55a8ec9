// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/relay_selector.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

std::optional<InstanceInfo>
RelaySelector::choose(const Instances& instances, const InstanceInfo& own,
                      const RunnerPlace& place, const FailedZones& failed_zones,
                      TimePoint now, std::uint64_t random) const
{
    Zones zones = zones_of(instances, own, place, now);
    const Zone& near = zones[own.zone];
    std::vector<const InstanceInfo*> choice;
    if (near.open.size() >= near.paused && !failed_zones.contains(own.zone))
        choice = near.open;
    if (choice.empty())
        for (const auto& [name, zone] : zones)
            if (!failed_zones.contains(name))
                choice.insert(choice.end(), zone.open.begin(), zone.open.end());
    if (choice.empty())
        for (const auto& [name, zone] : zones)
            choice.insert(choice.end(), zone.open.begin(), zone.open.end());
    if (choice.empty())
        return std::nullopt;
    return *choice[random % choice.size()];
}

RelaySelector::Zones
RelaySelector::zones_of(const Instances& instances, const InstanceInfo& own,
                        const RunnerPlace& place, TimePoint now) const
{
    const std::set<std::string_view> paused = paused_for(place, now);
    Zones zones;
    for (const auto& [name, instance] : instances) {
        if (name == own.name || instance.address == own.address)
            continue;
        Zone& zone = zones[instance.zone];
        if (paused.contains(instance.address))
            ++zone.paused;
        else
            zone.open.push_back(&instance);
    }
    return zones;
}

void
RelaySelector::failed(std::string_view address, const RunnerPlace& place,
                      TimePoint now)
{
    std::erase_if(m_pauses, [now](const auto& item) {
        return item.second.until + max_pause <= now;
    });
    Key key{std::string(address), {}, std::string(place.runner)};
    if (key.runner.empty())
        key.service = place.service;
    Pause& pause = m_pauses[std::move(key)];
    if (now < pause.until)
        return;
    pause.length = std::clamp(2 * pause.length, min_pause, max_pause);
    pause.until = now + pause.length;
}

void
RelaySelector::helped(std::string_view address)
{
    m_pauses.erase(Key{std::string(address), {}, {}});
}

/// Returns the addresses of the instances that are not asked about the runner
/// at `place`.
std::set<std::string_view>
RelaySelector::paused_for(const RunnerPlace& place, TimePoint now) const
{
    std::set<std::string_view> paused;
    for (const auto& [key, pause] : m_pauses)
        if (now < pause.until && key.concerns(place))
            paused.insert(key.address);
    return paused;
}

} // namespace crosslink
