// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "upstream_duties.h"

#include <adapters/clock.h>
#include <crosslink/base/error.h>
#include <crosslink/ports/engine.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

namespace crosslink
{

namespace
{

/// Period of load requests to engines of other zones, in load rounds.
constexpr std::uint64_t other_zone_rounds = 5;
/// Period of the announcements of this instance, in list rounds.
constexpr std::uint64_t announce_rounds = 2;
/// Number of instances of one zone that read the platform's list; the others
/// fetch it from them.
constexpr std::size_t list_readers = 2;
constexpr std::string_view list_duty = "upstream-list";
/// A reader whose list is older than this can't reach the platform and is
/// passed over, since another reader may still reach it.
constexpr Micros max_list_age = std::chrono::seconds(10);

std::vector<ListedEngine>
engines_of(std::span<const ListedInstance> listed)
{
    std::vector<ListedEngine> engines;
    for (const ListedInstance& instance : listed)
        if (instance.kind == ListedKind::Engine)
            engines.push_back(
                {instance.address, instance.zone, instance.leaving});
    return engines;
}

} // namespace

UpstreamDuties::UpstreamDuties(InstanceState& state)
    : m_state(state), m_list("list", [this] { return list_round(); }),
      m_load("load", [this] { return load_round(); })
{
}

void
UpstreamDuties::apply_list(InstanceState& state,
                           std::span<const ListedInstance> listed,
                           TimePoint read_at)
{
    const auto engines = engines_of(listed);
    state.routing.with([&](Routing& routing) {
        routing.engines.sync(engines, monotonic_now());
    });
    state.directory.with(
        [&](UpstreamDirectory& directory) { directory.sync(listed, read_at); });
}

void
UpstreamDuties::read_list(InstanceState& state)
{
    const TimePoint now = monotonic_now();
    const auto listed = state.clients.platform().instances();
    apply_list(state, listed, now);
    state.members.with([&listed](MemberTable& table) {
        for (const ListedInstance& instance : listed)
            if (instance.kind == ListedKind::Entry && !instance.leaving)
                table.add_seed(instance.address);
    });
}

bool
UpstreamDuties::fetch_list_from_readers()
{
    std::vector<Member> readers = m_state.preferred_in_zone(list_duty);
    readers.resize(std::min(readers.size(), list_readers));
    for (const Member& reader : readers) {
        try {
            if (fetch_list_from(reader.address))
                return true;
        } catch (const Error& failure) {
            spdlog::debug("fetching the upstream list from {} failed: {}",
                          reader.address, failure.what());
        }
    }
    return false;
}

bool
UpstreamDuties::fetch_list_from(const std::string& address)
{
    const TimePoint now = monotonic_now();
    const UpstreamList own = m_state.directory.with(
        [now](UpstreamDirectory& directory) { return directory.list(now); });
    const UpstreamList theirs =
        m_state.clients.peer(address)->upstream_list(own.digest);
    if (theirs.age > max_list_age)
        return false;
    if (theirs.digest != own.digest)
        apply_list(m_state, theirs.upstreams, now - theirs.age);
    else
        m_state.directory.with([&](UpstreamDirectory& directory) {
            directory.confirm(now - theirs.age);
        });
    return true;
}

void
UpstreamDuties::announce(InstanceState& state, bool leaving)
{
    ListedInstance self;
    self.id =
        state.members.with([](MemberTable& table) { return table.self().id; });
    self.kind = ListedKind::Entry;
    self.address = state.self_address();
    self.zone = state.settings.zone;
    self.leaving = leaving;
    state.clients.platform().announce(self);
}

Micros
UpstreamDuties::list_round()
{
    try {
        if (m_list_rounds++ % announce_rounds == 0 || m_state.stopping)
            announce(m_state, m_state.stopping);
        const bool reads =
            m_state.is_preferred_in_zone(list_duty, list_readers);
        if (reads || !fetch_list_from_readers())
            read_list(m_state);
    } catch (const Error& failure) {
        // The last list stays in use: its upstreams get work as long as they
        // answer.
        spdlog::debug("upstream list round failed: {}", failure.what());
    }
    return m_state.settings.list_period;
}

Micros
UpstreamDuties::load_round()
{
    const bool all = m_load_rounds++ % other_zone_rounds == 0;
    std::vector<std::string> addresses;
    m_state.routing.with([&](Routing& routing) {
        for (const auto& [address, engine] : routing.engines.entries())
            if (all || !engine.reported || engine.zone == m_state.settings.zone)
                addresses.push_back(address);
    });
    for (const std::string& address : addresses)
        update_load_of(address);
    return m_state.settings.load_period;
}

void
UpstreamDuties::update_load_of(const std::string& address)
{
    try {
        const EngineLoad load = m_state.clients.engine(address)->load();
        m_state.routing.with([&](Routing& routing) {
            routing.engines.update_load(address, load, monotonic_now());
        });
        apply_cache_events(address, load);
    } catch (const Error& failure) {
        spdlog::debug("updating the load of {} failed: {}", address,
                      failure.what());
        m_state.routing.with(
            [&](Routing& routing) { routing.engines.lost(address); });
    }
}

void
UpstreamDuties::apply_cache_events(const std::string& address,
                                   const EngineLoad& load)
{
    std::uint64_t seen = 0;
    m_state.routing.with([&](Routing& routing) {
        if (const EngineEntry* engine = routing.engines.find(address))
            seen = engine->cache.sequence();
    });
    if (seen >= load.last_event)
        return;
    const auto engine = m_state.clients.engine(address);
    const auto events = engine->events_after(seen);
    bool complete = true;
    m_state.routing.with([&](Routing& routing) {
        if (EngineEntry* entry = routing.engines.find(address))
            complete = entry->cache.apply(events);
    });
    if (complete)
        return;
    // Events were lost: the engine's full list of cached keys replaces the
    // state that was built from events.
    const auto keys = engine->cached_keys();
    m_state.routing.with([&](Routing& routing) {
        if (EngineEntry* entry = routing.engines.find(address))
            entry->cache.resync(keys, load.last_event);
    });
}

} // namespace crosslink
