// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "origin_duty.h"

#include "fleet_rpc.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/forward/forward_state.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

/// Time between two rounds where nothing wakes the duty.
constexpr Micros idle_pause = std::chrono::seconds(60);
/// The same until the fleet is known after the start.
constexpr Micros start_pause = std::chrono::milliseconds(50);
/// Least time between two messages to a home.
constexpr Micros batch_pause = std::chrono::milliseconds(5);
/// Origins of one round, and of one answer to an instance that starts.
constexpr std::size_t max_batch = 1000;
/// Instances that one which starts asks.
constexpr std::size_t max_asked = 8;

} // namespace

OriginDuty::OriginDuty(ForwardState& state)
    : m_state(state),
      m_duty(
          "origins", [this] { return round(); }, Duty::Begin::OnWake)
{
    m_state.origin_noted.set_duty(&m_duty);
}

OriginDuty::~OriginDuty()
{
    m_state.origin_noted.set_duty(nullptr);
}

Micros
OriginDuty::round()
{
    if (!m_state.knows_fleet())
        return start_pause;
    // An earlier process at this address may have held some.
    if (!m_asked && m_state.since_start() < StreamOrigins::lifetime)
        ask_others();
    return tell_untold() ? batch_pause : idle_pause;
}

/// Asks some other instances for the origins whose home this instance is.
void
OriginDuty::ask_others()
{
    m_asked = true;
    std::vector<InstanceInfo> others;
    m_state.fleet.with([&](const FleetView& view) {
        for (const auto& [name, instance] : view.instances)
            if (name != m_state.settings.name)
                others.push_back(instance);
    });
    std::mt19937_64 generator(random_bits());
    std::shuffle(others.begin(), others.end(), generator);
    others.resize(std::min(others.size(), max_asked));
    for (const InstanceInfo& other : others) {
        try {
            const auto origins =
                FleetClient(other.address).streams_of(m_state.settings.name);
            m_state.origins.with([&origins](StreamOrigins& known) {
                for (const StreamOrigin& origin : origins)
                    known.merge(origin, monotonic_now());
            });
        } catch (const Error& failure) {
            LogLine("streams_not_told")
                .field("instance", other.name)
                .field("error", failure.what());
        }
    }
}

/// Tells the homes of streams that were not told yet. Returns whether there
/// were any.
bool
OriginDuty::tell_untold()
{
    const auto mixed = m_state.mixed_services();
    const bool all = m_state.is_out_of_step();
    const auto untold = m_state.origins.with([&](StreamOrigins& origins) {
        return origins.take_untold(
            [&](std::string_view service) {
                return all || mixed.contains(service);
            },
            max_batch, monotonic_now());
    });
    std::map<std::string, std::pair<InstanceInfo, std::vector<StreamOrigin>>>
        batches;
    for (const StreamOrigin& origin : untold)
        for (const InstanceInfo& home : m_state.stream_homes(origin.stream)) {
            auto& [instance, origins] = batches[home.name];
            instance = home;
            origins.push_back(origin);
        }
    for (const auto& [name, batch] : batches)
        tell(batch.first, batch.second);
    return !untold.empty();
}

void
OriginDuty::tell(const InstanceInfo& home,
                 std::span<const StreamOrigin> origins)
{
    try {
        FleetClient(home.address).tell_streams(origins);
    } catch (const Error& failure) {
        LogLine("streams_not_told")
            .field("instance", home.name)
            .field("error", failure.what());
    }
}

} // namespace crosslink
