// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "fleet_calls.h"

#include <peer_rpc/rpc.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/fleet_feed.h>

namespace crosslink
{

namespace
{

constexpr const char* ask_kept_method = "ask_kept";
constexpr const char* not_saved_method = "not_saved";
constexpr const char* exchange_method = "exchange";
constexpr const char* snapshot_method = "snapshot";
constexpr const char* rpc_path = "/peer";
constexpr int success = 200;
constexpr int server_threads = 64;
constexpr std::uint64_t most_body_bytes = 1U << 20U;
/// A question for kept parts must be worth its time: a prompt of a few
/// thousand tokens is read in about 100 ms.
constexpr Micros question_time = std::chrono::milliseconds(80);
constexpr Micros connect_time = std::chrono::milliseconds(60);

Json::Value
question_to_json(const std::string& space, std::span<const PromptPart> parts)
{
    Json::Value value;
    value["space"] = space;
    value["parts"] = Json::Value(Json::arrayValue);
    for (const PromptPart& part : parts) {
        Json::Value item;
        item["id"] = part.id;
        item["tokens"] = part.tokens;
        value["parts"].append(item);
    }
    return value;
}

std::vector<PromptPart>
parts_from_json(const Json::Value& value)
{
    std::vector<PromptPart> parts;
    for (const Json::Value& item : value["parts"])
        parts.push_back(
            {json_string(item, "id"),
             static_cast<std::uint32_t>(json_number(item, "tokens"))});
    return parts;
}

KeptSpace
space_of(const Json::Value& parameters)
{
    const auto space = KeptSpace::parse(json_string(parameters, "space"));
    if (!space)
        throw Error(ErrorCode::BadRequest, "no kept space");
    return *space;
}

Json::Value
answer_to_json(const KeptAnswer& answer)
{
    Json::Value value;
    value["space"] = answer.space;
    value["clock"] = Json::UInt64(answer.clock);
    value["places"] = Json::Value(Json::arrayValue);
    for (const KeptPlace& place : answer.places) {
        Json::Value item;
        item["kind"] = static_cast<int>(place.kind);
        item["store"] = place.store;
        item["until"] = Json::UInt64(place.until);
        value["places"].append(item);
    }
    return value;
}

KeptAnswer
answer_from_json(const Json::Value& value)
{
    KeptAnswer answer;
    answer.space = json_string(value, "space");
    answer.clock = json_number(value, "clock");
    for (const Json::Value& item : value["places"]) {
        KeptPlace place;
        const auto kind = json_number(item, "kind");
        if (kind == static_cast<std::uint64_t>(KeptPlace::Kind::Fetch))
            place.kind = KeptPlace::Kind::Fetch;
        if (kind == static_cast<std::uint64_t>(KeptPlace::Kind::Save))
            place.kind = KeptPlace::Kind::Save;
        place.store = json_string(item, "store");
        place.until = json_number(item, "until");
        answer.places.push_back(place);
    }
    return answer;
}

Json::Value
load_to_json(const std::map<std::string, RunnerLoad>& load)
{
    Json::Value value(Json::objectValue);
    for (const auto& [runner, item] : load) {
        Json::Value row(Json::arrayValue);
        row.append(item.calls);
        row.append(Json::UInt64(item.tokens));
        value[runner] = row;
    }
    return value;
}

std::map<std::string, RunnerLoad>
load_from_json(const Json::Value& value)
{
    std::map<std::string, RunnerLoad> load;
    for (const std::string& runner : value.getMemberNames())
        load[runner] = {value[runner][0].asUInt(), value[runner][1].asUInt64()};
    return load;
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
    value["entries"] = Json::Value(Json::arrayValue);
    for (const KeptEntry& entry : update.entries) {
        Json::Value row(Json::arrayValue);
        row.append(entry.space);
        row.append(entry.id);
        row.append(entry.store);
        value["entries"].append(row);
    }
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
    for (const Json::Value& row : value["entries"])
        update.entries.push_back(
            {row[0].asString(), row[1].asString(), row[2].asString()});
    return update;
}

Json::Value
question_to_json(const ExchangeQuestion& question)
{
    Json::Value value;
    value["instance"] = question.instance;
    value["load"] = load_to_json(question.load);
    value["kept_term"] = Json::UInt64(question.kept_term);
    value["kept_place"] = Json::UInt64(question.kept_place);
    return value;
}

ExchangeQuestion
question_from_json(const Json::Value& value)
{
    return {json_string(value, "instance"), load_from_json(value["load"]),
            json_number(value, "kept_term"), json_number(value, "kept_place")};
}

Json::Value
answer_to_json(const ExchangeAnswer& answer)
{
    Json::Value value;
    value["others"] = load_to_json(answer.others);
    value["loading"] = Json::Value(Json::arrayValue);
    for (const std::string& runner : answer.loading)
        value["loading"].append(runner);
    value["kept"] = update_to_json(answer.kept);
    return value;
}

ExchangeAnswer
exchange_answer_from_json(const Json::Value& value)
{
    ExchangeAnswer answer;
    answer.others = load_from_json(value["others"]);
    for (const Json::Value& runner : value["loading"])
        answer.loading.push_back(runner.asString());
    answer.kept = update_from_json(value["kept"]);
    return answer;
}

} // namespace

FleetServer::FleetServer(ForwardState& state, Steward& steward)
    : m_rpc(std::make_unique<RpcServer>())
{
    m_rpc->add(ask_kept_method, [&steward](const Json::Value& parameters) {
        const auto parts = parts_from_json(parameters);
        const Micros longest(
            static_cast<Micros::rep>(json_number(parameters, "longest_us")));
        return answer_to_json(
            steward.ask_kept(space_of(parameters), parts, longest));
    });
    m_rpc->add(not_saved_method, [&steward](const Json::Value& parameters) {
        steward.not_saved(json_string(parameters, "space"),
                          parts_from_json(parameters));
        return Json::Value(Json::objectValue);
    });
    m_rpc->add(exchange_method, [&steward](const Json::Value& parameters) {
        return answer_to_json(steward.exchange(question_from_json(parameters)));
    });
    m_rpc->add(snapshot_method, [&state](const Json::Value&) {
        Json::Value result;
        result["text"] = state.ports.feed.snapshot();
        return result;
    });
    HttpServerRules rules;
    rules.most_threads = server_threads;
    m_server = std::make_unique<HttpServer>(
        state.settings.peer_address(), rules,
        [this](auto& request, auto& answer) {
            try {
                send_answer(answer, success, "application/json",
                            m_rpc->handle(read_body(request, most_body_bytes)));
            } catch (const std::exception& failure) {
                LogLine("peer_connection").field("error", failure.what());
            }
        });
}

FleetServer::~FleetServer() = default;

FleetClient::FleetClient(const std::string& address)
    : m_client(address, HttpTimeouts{connect_time, question_time})
{
}

Json::Value
FleetClient::call(const char* method, const Json::Value& parameters)
{
    try {
        RpcClient client([this](const std::string& request) {
            HttpRequest http;
            http.path = rpc_path;
            http.headers.push_back({"Content-Type", "application/json"});
            http.body = request;
            return m_client.exchange(http).body;
        });
        return client.call(method, parameters);
    } catch (const RpcError& failure) {
        throw Error(ErrorCode::PeerUnavailable, failure.what());
    } catch (const Error& failure) {
        throw Error(ErrorCode::PeerUnavailable, failure.what());
    }
}

KeptAnswer
FleetClient::ask_kept(const KeptSpace& space, std::span<const PromptPart> parts,
                      Micros longest)
{
    Json::Value parameters = question_to_json(space.text(), parts);
    parameters["longest_us"] = Json::Int64(longest.count());
    KeptAnswer answer = answer_from_json(call(ask_kept_method, parameters));
    if (answer.places.size() != parts.size())
        throw Error(ErrorCode::PeerUnavailable, "not one place per part");
    return answer;
}

void
FleetClient::not_saved(const std::string& space,
                       std::span<const PromptPart> parts)
{
    call(not_saved_method, question_to_json(space, parts));
}

std::string
FleetClient::snapshot()
{
    return json_string(call(snapshot_method, Json::Value(Json::objectValue)),
                       "text");
}

ExchangeAnswer
FleetClient::exchange(const ExchangeQuestion& question)
{
    return exchange_answer_from_json(
        call(exchange_method, question_to_json(question)));
}

} // namespace crosslink
