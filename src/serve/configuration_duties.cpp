// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "configuration_duties.h"

#include "configuration_source.h"

#include <adapters/random.h>
#include <crosslink/base/error.h>
#include <crosslink/ports/peer.h>
#include <crosslink/ports/platform.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include <malloc.h>

namespace crosslink
{

namespace
{

/// Number of instances of one availability zone that watch the platform.
constexpr std::size_t watchers_per_zone = 2;
constexpr Micros retry_watch = std::chrono::milliseconds(500);
constexpr Micros recheck_period = std::chrono::seconds(1);
constexpr Micros pull_period = std::chrono::seconds(1);

/// Returns a random time of 1 to 1.5 times `span`, so that the instances do not
/// send their requests at the same moment.
Micros
jittered(Micros span)
{
    const auto half = static_cast<std::uint64_t>(span.count() / 2 + 1);
    return span + Micros(random_bits() % half);
}

bool
load_from_platform(InstanceState& state, const PlatformRecord& record)
{
    ConfigurationHead head = ConfigurationHead::from_json(record.value);
    if (head.revision <= state.configuration.revision())
        return false;
    const auto read_part =
        [&state](const Digest& digest) -> std::optional<std::string> {
        auto part =
            state.clients.platform().read(configuration_part_key(digest));
        if (!part)
            return std::nullopt;
        return std::move(part->value);
    };
    return state.activate_if_newer(load_configuration(
        std::move(head), state.configuration.current(), read_part));
}

bool
load_from_peer(InstanceState& state, const std::string& address)
{
    const auto peer = state.clients.peer(address);
    auto head = peer->configuration_head();
    if (!head || head->revision <= state.configuration.revision())
        return false;
    const auto read_part = [&peer](const Digest& digest) {
        return peer->configuration_part(digest);
    };
    return state.activate_if_newer(load_configuration(
        std::move(*head), state.configuration.current(), read_part));
}

/// Returns the peers of this zone that are known at startup: the seeds and the
/// live members.
std::vector<std::string>
zone_peers(InstanceState& state)
{
    std::vector<std::string> addresses = state.settings.seeds;
    for (const Member& member : state.members.with([&](MemberTable& table) {
             return table.live_in(state.settings.zone);
         }))
        addresses.push_back(member.address);
    std::erase(addresses, state.self_address());
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()),
                    addresses.end());
    return addresses;
}

} // namespace

ConfigurationDuties::ConfigurationDuties(InstanceState& state)
    : m_state(state),
      m_watch("configuration-watch", [this] { return watch_round(); }),
      m_pull("configuration-pull", [this] { return pull_round(); })
{
    m_state.configuration_pull.set_duty(&m_pull);
}

ConfigurationDuties::~ConfigurationDuties()
{
    m_state.configuration_pull.set_duty(nullptr);
}

Micros
ConfigurationDuties::watch_round()
{
    Platform& platform = m_state.clients.platform();
    std::optional<PlatformRecord> record;
    bool watched = false;
    try {
        // The version of the platform's record can't be told from the current
        // configuration, so the record is read first; the watch then waits for
        // a version above it.
        record = platform.read(configuration_head_key);
        if (record)
            load_from_platform(m_state, *record);
        watched = !m_state.stopping &&
                  m_state.is_preferred_in_zone("configuration-watch",
                                               watchers_per_zone);
        if (watched) {
            const std::uint64_t seen = record ? record->version : 0;
            record = m_state.clients.watching_platform().watch(
                configuration_head_key, seen, watch_time);
            if (record)
                load_from_platform(m_state, *record);
        }
    } catch (const Error& failure) {
        spdlog::debug("watching the configuration failed: {}", failure.what());
        return jittered(retry_watch);
    }
    return watched ? Micros(0) : jittered(m_state.settings.poll_period);
}

void
ConfigurationDuties::trim_heap()
{
    // Building a configuration leaves much free memory behind in the heap. The
    // thread that builds it may still be running in the round that first sees
    // the revision, so the heap is trimmed once more in the next round.
    const std::uint64_t revision = m_state.configuration.revision();
    if (m_trimmed_revision == revision)
        return;
    malloc_trim(0);
    m_trimmed_revision = std::exchange(m_seen_revision, revision);
}

Micros
ConfigurationDuties::pull_round()
{
    trim_heap();
    const auto newest = m_state.members.with(
        [](MemberTable& table) { return table.newest_revision(); });
    if (!newest || newest->revision <= m_state.configuration.revision())
        return pull_period;
    load_from_peer(m_state, newest->address);
    return recheck_period;
}

bool
ConfigurationDuties::load_at_startup(InstanceState& state)
{
    StartupReplies replies;
    try {
        const auto record =
            state.clients.platform().read(configuration_head_key);
        if (record)
            load_from_platform(state, *record);
        replies.platform_answered = true;
    } catch (const Error& failure) {
        spdlog::info("startup: the platform can't be reached: {}",
                     failure.what());
    }
    for (const std::string& address : zone_peers(state)) {
        if (replies.platform_answered && state.configuration.revision() > 0)
            break;
        ++replies.zone_members;
        try {
            load_from_peer(state, address);
            ++replies.zone_answered;
        } catch (const Error& failure) {
            // The connection failed: no process serves at this address, so it
            // is not counted as a member that did not answer.
            if (failure.run_state() == RunState::NotDispatched)
                --replies.zone_members;
        }
    }
    return may_start_serving(replies, state.configuration.revision());
}

} // namespace crosslink
