// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "exchange_json.h"

#include "fleet_json.h"

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

/// The space and the store of entries stand once for all ids that share them:
/// {"SPACE": {"STORE": ["ID", ..]}}. With both beside each id, a directory of
/// 3,000 parts took 280 KB, and 80 instances that ask a new holder for it
/// filled its link of 10 Mbit/s for 18 s; so it takes 40 KB. Of several entries
/// for one part only the last counts.
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
    value["whole"] = update.whole;
    value["clock"] = Json::UInt64(update.clock);
    value["age_us"] = Json::Int64(update.age.count());
    value["entries"] = entries_to_json(update.entries);
    return value;
}

KeptUpdate
update_from_json(const Json::Value& value)
{
    KeptUpdate update;
    update.ready = json_flag(value, "ready");
    update.term = json_number(value, "term");
    update.place = json_number(value, "place");
    update.whole = json_flag(value, "whole");
    update.clock = json_number(value, "clock");
    update.age = json_span(value, "age_us");
    update.entries = entries_from_json(value["entries"]);
    return update;
}

Json::Value
age_to_json(const WeightsAge& age)
{
    Json::Value value;
    value["model"] = age.model;
    value["version"] = Json::UInt64(age.version);
    value["age_us"] = Json::Int64(age.age.count());
    return value;
}

WeightsAge
age_from_json(const Json::Value& value)
{
    return {json_string(value, "model"), json_number(value, "version"),
            json_span(value, "age_us")};
}

Json::Value
loaded_to_json(const RunnerWeights& loaded)
{
    Json::Value value;
    value["runner"] = loaded.runner;
    value["born"] = Json::UInt64(loaded.born);
    value["model"] = loaded.model;
    value["version"] = Json::UInt64(loaded.version);
    return value;
}

RunnerWeights
loaded_from_json(const Json::Value& value)
{
    return {json_string(value, "runner"), json_number(value, "born"),
            json_string(value, "model"), json_number(value, "version")};
}

Json::Value
lost_to_json(const LostContact& lost)
{
    Json::Value value;
    value["runner"] = lost.runner;
    value["age_us"] = Json::Int64(lost.age.count());
    return value;
}

LostContact
lost_from_json(const Json::Value& value)
{
    return {json_string(value, "runner"), json_span(value, "age_us")};
}

/// Calls stand by the runner that they were at, since one that ends has some
/// tens: {"broken": [[RUNNER, BORN, AGE, DIGEST, AGAIN, DIGEST, ..]],
/// "answered": {DIGEST: AGE}, "held": {DIGEST: AGE}}, ages in microseconds.
/// None where nothing is told, as nearly always.
Json::Value
crashes_to_json(const CrashNews& news)
{
    Json::Value value(Json::objectValue);
    std::map<std::tuple<std::string_view, std::uint64_t, Micros>, Json::Value>
        rows;
    for (const CrashNews::Broken& call : news.broken) {
        Json::Value& row = rows[{call.runner, call.born, call.since_end}];
        if (row.empty()) {
            row.append(call.runner);
            row.append(Json::UInt64(call.born));
            row.append(Json::Int64(call.since_end.count()));
        }
        row.append(call.request);
        row.append(call.again);
    }
    for (const auto& [end, row] : rows)
        value["broken"].append(row);
    for (const CrashNews::Answered& answer : news.answered)
        value["answered"][answer.request] = Json::Int64(answer.since.count());
    for (const CrashNews::Held& item : news.held)
        value["held"][item.request] = Json::Int64(item.since.count());
    return value;
}

void
add_broken(const Json::Value& row, std::vector<CrashNews::Broken>& calls)
{
    constexpr Json::ArrayIndex first_call = 3;
    if (!row.isArray() || row.size() < first_call)
        throw Error(ErrorCode::BadJson, "an end without runner or age");
    const Micros since_end(row[2].asInt64());
    for (Json::ArrayIndex i = first_call; i + 1 < row.size(); i += 2)
        calls.push_back({row[i].asString(), row[0].asString(),
                         row[1].asUInt64(), row[i + 1].asBool(), since_end});
}

CrashNews
crashes_from_json(const Json::Value& value)
{
    CrashNews news;
    if (!value.isObject())
        return news;
    for (const Json::Value& row : value["broken"])
        add_broken(row, news.broken);
    const Json::Value& answered = value["answered"];
    for (const std::string& request : answered.getMemberNames())
        news.answered.push_back(
            {request, json_span(answered, request.c_str())});
    const Json::Value& held = value["held"];
    for (const std::string& request : held.getMemberNames())
        news.held.push_back({request, json_span(held, request.c_str())});
    return news;
}

/// [RUNNER, BORN, CHANGE, HEARD, CALLS A SECOND]; the last one is left out
/// where the limit ended.
Json::Value
limit_to_json(const LimitNews& news)
{
    Json::Value row(Json::arrayValue);
    row.append(news.runner);
    row.append(Json::UInt64(news.born));
    row.append(Json::UInt64(news.change));
    row.append(Json::UInt64(news.heard));
    if (news.per_second != no_rate_limit)
        row.append(news.per_second);
    return row;
}

LimitNews
limit_from_json(const Json::Value& row)
{
    constexpr Json::ArrayIndex rate = 4;
    if (!row.isArray() || row.size() < rate)
        throw Error(ErrorCode::BadJson, "a limit without runner or change");
    return {row[0].asString(), row[1].asUInt64(),
            row.size() > rate ? row[rate].asDouble() : no_rate_limit,
            row[2].asUInt64(), row[3].asUInt64()};
}

/// [RUNNER, BORN].
Json::Value
leaving_to_json(const LeavingNews& news)
{
    Json::Value row(Json::arrayValue);
    row.append(news.runner);
    row.append(Json::UInt64(news.born));
    return row;
}

LeavingNews
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
    row.append(samples.way.store);
    row.append(samples.way.zone);
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
lateness_to_json(const FetchLateness& lateness)
{
    Json::Value row(Json::arrayValue);
    row.append(lateness.way.store);
    row.append(lateness.way.zone);
    row.append(Json::Int64(std::llround(lateness.late_ms)));
    row.append(Json::Int64(lateness.age.count()));
    return row;
}

FetchLateness
lateness_from_json(const Json::Value& row)
{
    if (!row.isArray() || row.size() < 4)
        throw Error(ErrorCode::BadJson, "a fetch without lateness or age");
    return {{row[0].asString(), row[1].asString()},
            row[2].asDouble(),
            Micros(row[3].asInt64())};
}

Json::Value
holders_to_json(const HoldersSeen& holders)
{
    Json::Value value;
    value["place"] = Json::UInt64(holders.place);
    value["watched_us"] = Json::Int64(holders.watched.count());
    value["ended"] = Json::Value(Json::objectValue);
    for (const HoldersSeen::Ended& item : holders.ended)
        value["ended"][item.address] = Json::Int64(item.ago.count());
    return value;
}

HoldersSeen
holders_from_json(const Json::Value& value)
{
    HoldersSeen holders;
    holders.place = json_number(value, "place");
    holders.watched = json_span(value, "watched_us");
    for (const std::string& address : value["ended"].getMemberNames())
        holders.ended.push_back(
            {address, json_span(value["ended"], address.c_str())});
    return holders;
}

} // namespace

Json::Value
to_json(const ExchangeQuestion& question)
{
    Json::Value value;
    value["instance"] = question.instance;
    value["load"] = load_to_json(question.load);
    value["kept_term"] = Json::UInt64(question.kept_term);
    value["kept_place"] = Json::UInt64(question.kept_place);
    value["weights"] = json_list(question.weights, age_to_json);
    value["lost"] = json_list(question.lost, lost_to_json);
    value["crashes"] = crashes_to_json(question.crashes);
    value["limits"] = json_list(question.limits, limit_to_json);
    value["leaving"] = json_list(question.leaving, leaving_to_json);
    value["fetches"] = json_list(question.fetches, samples_to_json);
    if (question.news_place)
        value["news_place"] = Json::UInt64(*question.news_place);
    return value;
}

ExchangeQuestion
exchange_question_from_json(const Json::Value& value)
{
    ExchangeQuestion question;
    question.instance = json_string(value, "instance");
    question.load = load_from_json(value["load"]);
    question.kept_term = json_number(value, "kept_term");
    question.kept_place = json_number(value, "kept_place");
    question.weights = list_from_json(value["weights"], age_from_json);
    question.lost = list_from_json(value["lost"], lost_from_json);
    question.crashes = crashes_from_json(value["crashes"]);
    question.limits = list_from_json(value["limits"], limit_from_json);
    question.leaving = list_from_json(value["leaving"], leaving_from_json);
    question.fetches = list_from_json(value["fetches"], samples_from_json);
    if (value.isMember("news_place"))
        question.news_place = json_number(value, "news_place");
    return question;
}

Json::Value
to_json(const ExchangeAnswer& answer)
{
    Json::Value value;
    value["others"] = load_to_json(answer.others);
    value["loading"] = json_texts(answer.loading);
    value["loaded"] = json_list(answer.loaded, loaded_to_json);
    value["lost"] = json_list(answer.lost, lost_to_json);
    value["crashes"] = crashes_to_json(answer.crashes);
    value["limits"] = json_list(answer.limits, limit_to_json);
    value["leaving"] = json_list(answer.leaving, leaving_to_json);
    value["fetches"] = json_list(answer.fetches, lateness_to_json);
    value["kept"] = update_to_json(answer.kept);
    value["weights"] = json_list(answer.weights, age_to_json);
    value["platform_reached"] = answer.platform_reached;
    value["age_us"] = Json::Int64(answer.age.count());
    value["load_age_us"] = Json::Int64(answer.load_age.count());
    value["holders"] = holders_to_json(answer.holders);
    value["news"] = to_json(answer.news);
    value["news_age_us"] = Json::Int64(answer.news_age.count());
    return value;
}

ExchangeAnswer
exchange_answer_from_json(const Json::Value& value)
{
    ExchangeAnswer answer;
    answer.others = load_from_json(value["others"]);
    answer.loading = texts_from_json(value["loading"]);
    answer.loaded = list_from_json(value["loaded"], loaded_from_json);
    answer.lost = list_from_json(value["lost"], lost_from_json);
    answer.crashes = crashes_from_json(value["crashes"]);
    answer.limits = list_from_json(value["limits"], limit_from_json);
    answer.leaving = list_from_json(value["leaving"], leaving_from_json);
    answer.fetches = list_from_json(value["fetches"], lateness_from_json);
    answer.kept = update_from_json(value["kept"]);
    answer.weights = list_from_json(value["weights"], age_from_json);
    answer.platform_reached = json_flag(value, "platform_reached");
    answer.age = json_span(value, "age_us");
    answer.load_age = json_span(value, "load_age_us");
    answer.holders = holders_from_json(value["holders"]);
    answer.news = news_from_json(value["news"]);
    answer.news_age = json_span(value, "news_age_us");
    return answer;
}

} // namespace crosslink
