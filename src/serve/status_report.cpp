// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "status_report.h"

#include "instance_state.h"

#include <adapters/clock.h>
#include <adapters/wire.h>
#include <crosslink/base/invariants.h>

#include <cstdio>

namespace crosslink
{

namespace
{

const char*
state_name(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

Json::Value
member_json(const Member& member)
{
    Json::Value value;
    value["id"] = member.id;
    value["address"] = member.address;
    value["zone"] = member.zone;
    value["state"] = state_name(member.state);
    value["revision"] = Json::UInt64(member.revision);
    return value;
}

Json::Value
engine_json(const EngineEntry& engine, TimePoint now)
{
    Json::Value value;
    value["address"] = engine.address;
    value["zone"] = engine.zone;
    value["takes_work"] = engine.takes_work(now);
    value["leaving"] = engine.load.leaving || now < engine.leaving_until;
    value["running"] = engine.load.running;
    value["waiting_tokens"] = Json::UInt64(engine.load.waiting_tokens);
    value["own_running"] = engine.own_running;
    value["believed_cached_blocks"] = Json::UInt64(engine.cache.size());
    for (const ResidentModel& resident : engine.load.resident)
        value["resident"].append(resident.model + "@" + resident.version);
    return value;
}

Json::Value
link_json(const LinkState& link)
{
    Json::Value value;
    value["store"] = link.store;
    value["bytes_per_second"] = link.bytes_per_second;
    value["under_way"] = Json::UInt64(link.bytes_in_flight);
    value["fetched"] = Json::UInt64(link.fetched);
    return value;
}

Json::Value
invariants_json()
{
    Json::Value value(Json::objectValue);
    for (int i = 0; i < static_cast<int>(Invariant::Count_); ++i) {
        const auto invariant = static_cast<Invariant>(i);
        value[std::string(invariant_name(invariant))] =
            Json::UInt64(InvariantCounters::instance().count(invariant));
    }
    return value;
}

} // namespace

Json::Value
status_report(InstanceState& state)
{
    const TimePoint now = monotonic_now();
    Json::Value value;
    value["zone"] = state.settings.zone;
    value["revision"] = Json::UInt64(state.configuration.revision());
    value["ready"] = state.ready && !state.stopping;
    const auto members =
        state.members.with([](MemberTable& table) { return table.all(); });
    value["members"] = json_list(members, member_json);
    value["engines"] = Json::Value(Json::arrayValue);
    state.routing.with([&](Routing& routing) {
        for (const auto& [address, engine] : routing.engines.entries())
            value["engines"].append(engine_json(engine, now));
    });
    const auto links = state.routing.with(
        [](Routing& routing) { return routing.links.states(); });
    value["links"] = json_list(links, link_json);
    value["stores"] = Json::Value(Json::arrayValue);
    value["plain"] = Json::Value(Json::arrayValue);
    const auto listed = state.directory.with(
        [](UpstreamDirectory& directory) { return directory.listed(); });
    for (const ListedInstance& instance : listed) {
        if (instance.kind == ListedKind::Store)
            value["stores"].append(wire::instance_to_json(instance));
        else if (instance.kind == ListedKind::Plain)
            value["plain"].append(wire::instance_to_json(instance));
    }
    value["invariant_breaches"] = invariants_json();
    return value;
}

std::string
status_text(const Json::Value& status)
{
    std::string text = "zone " + json_string(status, "zone") + ", revision " +
                       std::to_string(json_uint64(status, "revision")) +
                       (json_bool(status, "ready") ? "\n" : ", not ready\n");
    char line[200];
    text += "\nmembers\n";
    for (const Json::Value& member : status["members"]) {
        std::snprintf(
            line, sizeof line, "  %-22s %-8s %-8s revision %llu\n",
            json_string(member, "address").c_str(),
            json_string(member, "zone").c_str(),
            json_string(member, "state").c_str(),
            static_cast<unsigned long long>(json_uint64(member, "revision")));
        text += line;
    }
    text += "\nengines\n";
    for (const Json::Value& engine : status["engines"]) {
        std::snprintf(
            line, sizeof line,
            "  %-22s %-8s %-9s running %llu, %llu tokens wait, "
            "%llu blocks cached\n",
            json_string(engine, "address").c_str(),
            json_string(engine, "zone").c_str(),
            json_bool(engine, "takes_work") ? "in use" : "not used",
            static_cast<unsigned long long>(json_uint64(engine, "running")),
            static_cast<unsigned long long>(
                json_uint64(engine, "waiting_tokens")),
            static_cast<unsigned long long>(
                json_uint64(engine, "believed_cached_blocks")));
        text += line;
    }
    for (const char* kind : {"stores", "plain"}) {
        text += std::string("\n") + kind + "\n";
        for (const Json::Value& instance : status[kind]) {
            std::snprintf(line, sizeof line, "  %-22s %-8s %s%s\n",
                          json_string(instance, "address").c_str(),
                          json_string(instance, "zone").c_str(),
                          json_string(instance, "service").c_str(),
                          json_bool(instance, "leaving") ? " leaving" : "");
            text += line;
        }
    }
    return text;
}

} // namespace crosslink
