// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_json.h"

#include "fleet_json.h"
#include "speed_json.h"

#include <crosslink/base/error.h>

#include <cmath>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

Json::Value
load_to_json(const std::map<std::string, RunnerLoad>& load)
{
    Json::Value value(Json::objectValue);
    for (const auto& [runner, item] : load) {
        Json::Value row(Json::arrayValue);
        row.append(item.calls);
        row.append(Json::UInt64(item.tokens));
        row.append(Json::UInt64(item.resident));
        value[runner] = row;
    }
    return value;
}

std::map<std::string, RunnerLoad>
load_from_json(const Json::Value& value)
{
    std::map<std::string, RunnerLoad> load;
    for (const std::string& runner : value.getMemberNames())
        load[runner] = {value[runner][0].asUInt(), value[runner][1].asUInt64(),
                        value[runner][2].asUInt64()};
    return load;
}

Json::Value
usage_to_json(const AccountUsages& usages)
{
    Json::Value value(Json::objectValue);
    for (const auto& [key, usage] : usages) {
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(usage.millis));
        row.append(usage.instances);
        value[key] = row;
    }
    return value;
}

AccountUsages
usage_from_json(const Json::Value& value)
{
    AccountUsages usages;
    if (!value.isObject())
        return usages;
    for (const std::string& key : value.getMemberNames())
        usages[key] = {value[key][0].asUInt64(), value[key][1].asUInt()};
    return usages;
}

/// Groups ids by space and store: {"SPACE": {"STORE": ["ID", ..]}}. With space
/// and store beside each id, a whole directory would be seven times as long,
/// and a new coordinator sends it to all that poll it. Of several entries for
/// one part, only the last is encoded.
Json::Value
entries_to_json(std::span<const KeptEntry> entries)
{
    std::map<std::pair<std::string_view, std::string_view>, std::string_view>
        stores;
    for (const KeptEntry& entry : entries)
        stores[{entry.space, entry.id}] = entry.store;
    Json::Value value(Json::objectValue);
    for (const auto& [part, store] : stores)
        value[std::string(part.first)][std::string(store)].append(
            std::string(part.second));
    return value;
}

std::vector<KeptEntry>
entries_from_json(const Json::Value& value)
{
    std::vector<KeptEntry> entries;
    for (const std::string& space : value.getMemberNames())
        for (const std::string& store : value[space].getMemberNames())
            for (const Json::Value& id : value[space][store])
                entries.push_back({space, id.asString(), store});
    return entries;
}

Json::Value
update_to_json(const KeptUpdate& update)
{
    Json::Value value;
    value["ready"] = update.ready;
    value["term"] = Json::UInt64(update.term);
    value["place"] = Json::UInt64(update.place);
    value["whole"] = update.is_snapshot;
    value["clock"] = Json::UInt64(update.clock);
    value["age_us"] = Json::Int64(update.age.count());
    value["entries"] = entries_to_json(update.entries);
    return value;
}

KeptUpdate
update_from_json(const Json::Value& value)
{
    KeptUpdate update;
    update.ready = json_bool(value, "ready");
    update.term = json_uint64(value, "term");
    update.place = json_uint64(value, "place");
    update.is_snapshot = json_bool(value, "whole");
    update.clock = json_uint64(value, "clock");
    update.age = json_micros(value, "age_us");
    update.entries = entries_from_json(value["entries"]);
    return update;
}

Json::Value
weights_age_to_json(const WeightsAge& age)
{
    Json::Value value;
    value["model"] = age.model;
    value["version"] = Json::UInt64(age.version);
    value["age_us"] = Json::Int64(age.age.count());
    return value;
}

WeightsAge
weights_age_from_json(const Json::Value& value)
{
    return {json_string(value, "model"), json_uint64(value, "version"),
            json_micros(value, "age_us")};
}

Json::Value
runner_weights_to_json(const RunnerWeights& loaded)
{
    Json::Value value;
    value["runner"] = loaded.runner;
    value["born"] = Json::UInt64(loaded.start_ms);
    value["model"] = loaded.model;
    value["version"] = Json::UInt64(loaded.version);
    return value;
}

RunnerWeights
runner_weights_from_json(const Json::Value& value)
{
    return {json_string(value, "runner"), json_uint64(value, "born"),
            json_string(value, "model"), json_uint64(value, "version")};
}

Json::Value
failure_to_json(const ConnectionFailure& lost)
{
    Json::Value value;
    value["runner"] = lost.runner;
    value["age_us"] = Json::Int64(lost.age.count());
    return value;
}

ConnectionFailure
failure_from_json(const Json::Value& value)
{
    return {json_string(value, "runner"), json_micros(value, "age_us")};
}

/// Groups broken calls by runner, since a runner that ends breaks some tens of
/// calls: {"broken": [[RUNNER, START_MS, AGE, KEY, AGAIN, KEY, ..]],
/// "answered": {KEY: AGE}, "held": {KEY: AGE}}, ages in microseconds.
/// Empty members are left out; nearly always all are empty.
Json::Value
crashes_to_json(const CrashUpdate& update)
{
    Json::Value value(Json::objectValue);
    std::map<std::tuple<std::string_view, std::uint64_t, Micros>, Json::Value>
        rows;
    for (const CrashUpdate::Broken& call : update.broken) {
        Json::Value& row = rows[{call.runner, call.start_ms, call.since_end}];
        if (row.empty()) {
            row.append(call.runner);
            row.append(Json::UInt64(call.start_ms));
            row.append(Json::Int64(call.since_end.count()));
        }
        row.append(call.key);
        row.append(call.again);
    }
    for (const auto& [end, row] : rows)
        value["broken"].append(row);
    for (const CrashUpdate::Answered& answer : update.answered)
        value["answered"][answer.key] = Json::Int64(answer.since.count());
    for (const CrashUpdate::Held& item : update.held)
        value["held"][item.key] = Json::Int64(item.since.count());
    return value;
}

void
add_broken(const Json::Value& row, std::vector<CrashUpdate::Broken>& calls)
{
    constexpr Json::ArrayIndex first_call = 3;
    if (!row.isArray() || row.size() < first_call)
        throw Error(ErrorCode::BadJson, "an end without runner or age");
    const Micros since_end(row[2].asInt64());
    for (Json::ArrayIndex i = first_call; i + 1 < row.size(); i += 2)
        calls.push_back({row[i].asString(), row[0].asString(),
                         row[1].asUInt64(), row[i + 1].asBool(), since_end});
}

CrashUpdate
crashes_from_json(const Json::Value& value)
{
    CrashUpdate update;
    if (!value.isObject())
        return update;
    for (const Json::Value& row : value["broken"])
        add_broken(row, update.broken);
    const Json::Value& answered = value["answered"];
    for (const std::string& request : answered.getMemberNames())
        update.answered.push_back(
            {request, json_micros(answered, request.c_str())});
    const Json::Value& held = value["held"];
    for (const std::string& request : held.getMemberNames())
        update.held.push_back({request, json_micros(held, request.c_str())});
    return update;
}

/// [RUNNER, START_MS, CHANGE, CONFIRMATIONS, PER_SECOND], the fields of
/// LimitUpdate; the rate is left out where the limit has ended.
Json::Value
limit_to_json(const LimitUpdate& update)
{
    Json::Value row(Json::arrayValue);
    row.append(update.runner);
    row.append(Json::UInt64(update.start_ms));
    row.append(Json::UInt64(update.change));
    row.append(Json::UInt64(update.confirmations));
    if (update.per_second != no_rate_limit)
        row.append(update.per_second);
    return row;
}

LimitUpdate
limit_from_json(const Json::Value& row)
{
    constexpr Json::ArrayIndex rate_index = 4;
    if (!row.isArray() || row.size() < rate_index)
        throw Error(ErrorCode::BadJson, "a limit without runner or change");
    return {row[0].asString(), row[1].asUInt64(),
            row.size() > rate_index ? row[rate_index].asDouble()
                                    : no_rate_limit,
            row[2].asUInt64(), row[3].asUInt64()};
}

/// [RUNNER, START_MS].
Json::Value
leaving_to_json(const LeavingUpdate& update)
{
    Json::Value row(Json::arrayValue);
    row.append(update.runner);
    row.append(Json::UInt64(update.start_ms));
    return row;
}

LeavingUpdate
leaving_from_json(const Json::Value& row)
{
    if (!row.isArray() || row.size() < 2)
        throw Error(ErrorCode::BadJson, "a leaving runner without its start");
    return {row[0].asString(), row[1].asUInt64()};
}

Json::Value
samples_to_json(const FetchSamples& samples)
{
    Json::Value row(Json::arrayValue);
    row.append(samples.path.store);
    row.append(samples.path.zone);
    row.append(samples.calls);
    row.append(Json::Int64(std::llround(samples.late_ms)));
    return row;
}

FetchSamples
samples_from_json(const Json::Value& row)
{
    if (!row.isArray() || row.size() < 4)
        throw Error(ErrorCode::BadJson, "samples without store or lateness");
    return {{row[0].asString(), row[1].asString()},
            row[2].asUInt(),
            row[3].asDouble()};
}

Json::Value
lateness_to_json(const FetchDelay& lateness)
{
    Json::Value row(Json::arrayValue);
    row.append(lateness.path.store);
    row.append(lateness.path.zone);
    row.append(Json::Int64(std::llround(lateness.late_ms)));
    row.append(Json::Int64(lateness.age.count()));
    return row;
}

FetchDelay
lateness_from_json(const Json::Value& row)
{
    if (!row.isArray() || row.size() < 4)
        throw Error(ErrorCode::BadJson, "a fetch without lateness or age");
    return {{row[0].asString(), row[1].asString()},
            row[2].asDouble(),
            Micros(row[3].asInt64())};
}

Json::Value
holders_to_json(const FormerHolders& holders)
{
    Json::Value value;
    value["place"] = to_json(holders.position);
    value["watched_us"] = Json::Int64(holders.observed_for.count());
    value["ended"] = Json::Value(Json::objectValue);
    for (const FormerHolders::Ended& item : holders.ended)
        value["ended"][item.address] = Json::Int64(item.ago.count());
    return value;
}

FormerHolders
holders_from_json(const Json::Value& value)
{
    FormerHolders holders;
    holders.position = store_position_from_json(value["place"]);
    holders.observed_for = json_micros(value, "watched_us");
    for (const std::string& address : value["ended"].getMemberNames())
        holders.ended.push_back(
            {address, json_micros(value["ended"], address.c_str())});
    return holders;
}

} // namespace

Json::Value
to_json(const ExchangeRequest& request)
{
    Json::Value value;
    value["instance"] = request.instance;
    value["zone"] = request.zone;
    value["load"] = load_to_json(request.load);
    value["usage"] = usage_to_json(request.usage);
    add_speed_json(request.speed, value);
    value["kept_term"] = Json::UInt64(request.kept_term);
    value["kept_place"] = Json::UInt64(request.kept_place);
    value["weights"] = json_list(request.weights, weights_age_to_json);
    value["lost"] = json_list(request.lost, failure_to_json);
    value["crashes"] = crashes_to_json(request.crashes);
    value["limits"] = json_list(request.limits, limit_to_json);
    value["leaving"] = json_list(request.leaving, leaving_to_json);
    value["fetches"] = json_list(request.fetches, samples_to_json);
    if (request.known_position)
        value["news_place"] = to_json(*request.known_position);
    return value;
}

ExchangeRequest
exchange_request_from_json(const Json::Value& value)
{
    ExchangeRequest request;
    request.instance = json_string(value, "instance");
    request.zone = json_string(value, "zone");
    request.load = load_from_json(value["load"]);
    request.usage = usage_from_json(value["usage"]);
    request.speed = speed_from_json(value);
    request.kept_term = json_uint64(value, "kept_term");
    request.kept_place = json_uint64(value, "kept_place");
    request.weights = list_from_json(value["weights"], weights_age_from_json);
    request.lost = list_from_json(value["lost"], failure_from_json);
    request.crashes = crashes_from_json(value["crashes"]);
    request.limits = list_from_json(value["limits"], limit_from_json);
    request.leaving = list_from_json(value["leaving"], leaving_from_json);
    request.fetches = list_from_json(value["fetches"], samples_from_json);
    if (value.isMember("news_place"))
        request.known_position = store_position_from_json(value["news_place"]);
    return request;
}

Json::Value
to_json(const ExchangeResponse& response)
{
    Json::Value value;
    value["others"] = load_to_json(response.others);
    value["usage"] = usage_to_json(response.usage);
    add_speed_json(response.speed, value);
    value["own_zone_only"] = response.own_zone_only;
    value["loading"] = json_strings(response.loading);
    value["loaded"] = json_list(response.loaded, runner_weights_to_json);
    value["lost"] = json_list(response.lost, failure_to_json);
    value["crashes"] = crashes_to_json(response.crashes);
    value["limits"] = json_list(response.limits, limit_to_json);
    value["leaving"] = json_list(response.leaving, leaving_to_json);
    value["fetches"] = json_list(response.fetches, lateness_to_json);
    value["kept"] = update_to_json(response.kept);
    value["weights"] = json_list(response.weights, weights_age_to_json);
    value["platform_reached"] = response.platform_reached;
    value["age_us"] = Json::Int64(response.age.count());
    value["load_age_us"] = Json::Int64(response.load_age.count());
    value["holders"] = holders_to_json(response.holders);
    value["news"] = to_json(response.changes);
    value["news_age_us"] = Json::Int64(response.changes_age.count());
    value["lapse_window_us"] = Json::Int64(response.lapse_window.count());
    return value;
}

ExchangeResponse
exchange_response_from_json(const Json::Value& value)
{
    ExchangeResponse response;
    response.others = load_from_json(value["others"]);
    response.usage = usage_from_json(value["usage"]);
    response.speed = speed_from_json(value);
    response.own_zone_only = json_bool(value, "own_zone_only");
    response.loading = strings_from_json(value["loading"]);
    response.loaded = list_from_json(value["loaded"], runner_weights_from_json);
    response.lost = list_from_json(value["lost"], failure_from_json);
    response.crashes = crashes_from_json(value["crashes"]);
    response.limits = list_from_json(value["limits"], limit_from_json);
    response.leaving = list_from_json(value["leaving"], leaving_from_json);
    response.fetches = list_from_json(value["fetches"], lateness_from_json);
    response.kept = update_from_json(value["kept"]);
    response.weights = list_from_json(value["weights"], weights_age_from_json);
    response.platform_reached = json_bool(value, "platform_reached");
    response.age = json_micros(value, "age_us");
    response.load_age = json_micros(value, "load_age_us");
    response.holders = holders_from_json(value["holders"]);
    response.changes = change_page_from_json(value["news"]);
    response.changes_age = json_micros(value, "news_age_us");
    response.lapse_window = json_micros(value, "lapse_window_us");
    return response;
}

} // namespace crosslink
