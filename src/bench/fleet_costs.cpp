// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "fleet_costs.h"

#include <serve/fleet/exchange.h>
#include <serve/fleet/exchange_json.h>
#include <serve/fleet/fleet_json.h>

#include <crosslink/forward/runner_table.h>
#include <crosslink/membership/change_log.h>
#include <crosslink/membership/fleet_tree.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crosslink::bench
{

namespace
{

constexpr const char* service = "model";
constexpr std::size_t rounds = 50;
constexpr double strong_mbps = 200;
constexpr double weak_mbps = 20;
const TimePoint now{std::chrono::seconds(100)};

std::string
zone_name(std::size_t number)
{
    return "zone-" + std::to_string(number);
}

std::string
runner_id(std::size_t number)
{
    return "i-" + std::to_string(100'000'000 + number);
}

/// Returns how long `work` takes, in microseconds.
template<typename Work>
double
micros_of(const Work& work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

RunnerTable
table_of(const FleetSize& size)
{
    RunnerTable table;
    for (std::size_t i = 0; i < size.runners; ++i) {
        ListedRunner runner;
        runner.id = runner_id(i);
        runner.service = service;
        runner.address = "10.1." + std::to_string(i / 250) + "." +
                         std::to_string(i % 250) + ":8080";
        runner.zone = zone_name(i % size.zones);
        runner.slots = 24;
        runner.models = {{"model-a", 1}};
        table.put(runner, now);
    }
    return table;
}

std::map<std::string, RunnerLoad>
busy_runners(const FleetSize& size)
{
    std::map<std::string, RunnerLoad> load;
    for (std::size_t i = 0; i < size.runners; i += size.busy_one_in)
        load[runner_id(i)] = {1, 4000, 9000};
    return load;
}

void
measure_table(const FleetSize& size, Json::Value& figures)
{
    RunnerTable table = table_of(size);
    const auto load = busy_runners(size);
    const std::string zone = zone_name(0);
    RunnerQuery query;
    query.service = service;
    query.zone = zone;
    query.instances = size.instances;
    query.now = now;
    query.tokens = 1670;
    std::uint64_t visited = table.entries_visited();
    figures["choice_us"] = micros_of([&] {
                               for (std::size_t i = 0; i < rounds; ++i) {
                                   query.random = i;
                                   (void)table.choose(query);
                               }
                           }) /
                           rounds;
    figures["choice_entries"] =
        static_cast<double>(table.entries_visited() - visited) / rounds;
    auto own_zone = load;
    table.keep_zone(own_zone, query.zone);
    visited = table.entries_visited();
    figures["exchange_table_us"] =
        micros_of([&] {
            for (std::size_t i = 0; i < rounds; ++i) {
                table.set_remote_load(own_zone, now, query.zone);
                (void)table.own_load();
                (void)table.limit_updates(now);
                (void)table.leaving_updates();
                (void)table.connection_failures(now);
            }
        }) /
        rounds;
    figures["exchange_entries"] =
        static_cast<double>(table.entries_visited() - visited) / rounds;
    figures["loss_of_a_seventh_ms"] =
        micros_of([&] {
            for (std::size_t i = 0; i < size.runners / 7; ++i)
                table.remove(runner_id(i));
        }) /
        1000;
    ExchangeResponse response;
    response.others = own_zone;
    const std::string text = json_text(to_json(response));
    figures["exchange_rows"] = Json::UInt64(own_zone.size());
    figures["exchange_bytes"] = Json::UInt64(text.size());
    figures["exchange_encode_us"] =
        micros_of([&] { (void)json_text(to_json(response)); });
    figures["exchange_decode_us"] =
        micros_of([&] { (void)exchange_response_from_json(parse_json(text)); });
}

void
measure_tree(const FleetSize& size, Json::Value& figures)
{
    std::vector<InstanceInfo> instances;
    for (std::size_t i = 0; i < size.instances; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const bool strong = i / size.zones % size.strong_one_in == 0;
        instances.push_back({name, name + ":1", zone_name(i % size.zones),
                             strong ? strong_mbps : weak_mbps});
    }
    const std::string& holder = instances.front().address;
    std::map<std::string, std::string> parent_of;
    std::map<std::string, std::size_t> children;
    const FleetTree tree(instances, holder);
    figures["tree_position_us"] = micros_of([&] {
        (void)FleetTree(instances, holder)
            .parents(instances.back().name, instances.back().zone,
                     instances.back().address);
    });
    for (const InstanceInfo& instance : instances) {
        if (instance.address == holder)
            continue;
        const auto parents =
            tree.parents(instance.name, instance.zone, instance.address);
        parent_of[instance.address] = parents.front();
        ++children[parents.front()];
    }
    std::size_t most = 0;
    for (const auto& [address, count] : children)
        most = std::max(most, count);
    std::size_t deepest = 0;
    for (auto [address, parent] : parent_of) {
        std::size_t depth = 1;
        for (; parent != holder; parent = parent_of.at(parent))
            ++depth;
        deepest = std::max(deepest, depth);
    }
    figures["children_of_holder"] = Json::UInt64(children[holder]);
    figures["children_most"] = Json::UInt64(most);
    figures["tree_levels"] = Json::UInt64(deepest);
}

void
measure_start(const FleetSize& size, Json::Value& figures)
{
    ChangePage page;
    page.is_snapshot = true;
    for (std::size_t i = 0; i < size.runners; ++i)
        page.entries.push_back(
            {"servers/" + runner_id(i),
             R"({"service":"model","address":"10.1.)" +
                 std::to_string(i / 250) + "." + std::to_string(i % 250) +
                 R"(:8080","zone":")" + zone_name(i % size.zones) +
                 R"(","version":"1","slots":24,"state":"ready",)"
                 R"("coldRemainingMs":0,"sequence":1,"stage":"both",)"
                 R"("models":[{"name":"model-a","version":1,"adapters":[]}]})",
             i + 1});
    page.position.revision = size.runners;
    figures["snapshot_bytes"] = Json::UInt64(json_text(to_json(page)).size());
    ChangePage packed;
    packed.is_snapshot = true;
    packed.position.revision = page.position.revision;
    figures["snapshot_pack_ms"] =
        micros_of([&] {
            packed.packed =
                std::make_shared<const std::string>(pack_entries(page.entries));
        }) /
        1000;
    const std::string text = json_text(to_json(packed));
    figures["snapshot_packed_bytes"] = Json::UInt64(text.size());
    ChangeLog log;
    figures["snapshot_apply_ms"] =
        micros_of([&] { log.apply(change_page_from_json(parse_json(text))); }) /
        1000;
}

} // namespace

Json::Value
measure_fleet(const FleetSize& size)
{
    Json::Value figures;
    figures["instances"] = Json::UInt64(size.instances);
    figures["runners"] = Json::UInt64(size.runners);
    measure_table(size, figures);
    measure_tree(size, figures);
    measure_start(size, figures);
    return figures;
}

} // namespace crosslink::bench
