// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "fleet_rpc.h"

#include "exchange_json.h"
#include "fleet_json.h"

#include <adapters/clock.h>
#include <peer_rpc/rpc.h>
#include <serve/forward/relay_handler.h>
#include <serve/forward/runner_look.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>

namespace crosslink
{

namespace
{

constexpr const char* find_kept_parts_method = "ask_kept";
constexpr const char* cancel_saves_method = "not_saved";
constexpr const char* exchange_method = "exchange";
constexpr const char* stop_answering_method = "stop_telling";
constexpr const char* coordinator_method = "holder";
constexpr const char* parents_method = "parents";
constexpr const char* store_snapshot_method = "news";
constexpr const char* look_method = "look_at_runner";
constexpr const char* reach_method = "reach";
constexpr const char* offer_method = "offer_duty";
constexpr const char* find_stream_method = "find_stream";
constexpr const char* tell_streams_method = "tell_streams";
constexpr const char* streams_of_method = "streams_of";
constexpr const char* rpc_path = "/peer";
constexpr int success = 200;
constexpr int server_threads = 64;
/// Connections that wait for a thread: no more than are served before those who
/// ask give up. The next ones are closed at once; else, when many ask, all wait
/// in vain.
constexpr int max_waiting = 32;
constexpr std::uint64_t max_body_bytes = 1U << 20U;
/// Timeout of most calls. Looking up stored parts must not take longer than
/// reading the prompt: a few thousand tokens are read in about 100 ms.
constexpr Micros call_timeout = std::chrono::milliseconds(80);
/// Timeout where the answer may be a complete copy of the directory or of the
/// platform's store: some hundred kilobytes. No caller waits for it.
constexpr Micros large_answer_timeout = std::chrono::milliseconds(600);
/// Timeout for an instance that starts: the holder of the duty may be asked by
/// all instances at once.
constexpr Micros start_timeout = std::chrono::milliseconds(600);
/// Timeout of a look at a runner: the other instance may look at others too.
constexpr Micros look_timeout = std::chrono::milliseconds(450);
/// Timeout of reports of a few runners; no caller waits for it.
constexpr Micros reach_timeout = std::chrono::milliseconds(1000);
constexpr Micros connect_timeout = std::chrono::milliseconds(60);
/// The largest answer is a copy of the platform's store: 3.4 MB for 985
/// instances and 9,773 runners.
constexpr AnswerLimit answer_limit{16U << 20U};

/// [STREAM, SERVICE, SOFTWARE, SENDS, AGE], the age in microseconds.
Json::Value
stream_to_json(const StreamOrigin& origin)
{
    Json::Value row(Json::arrayValue);
    row.append(origin.stream);
    row.append(origin.service);
    row.append(origin.software);
    row.append(origin.sends);
    row.append(Json::Int64(origin.age.count()));
    return row;
}

StreamOrigin
stream_from_json(const Json::Value& row)
{
    constexpr Json::ArrayIndex fields = 5;
    if (!row.isArray() || row.size() < fields)
        throw Error(ErrorCode::BadJson, "a stream without its origin");
    return {row[0].asString(), row[1].asString(), row[2].asString(),
            row[3].asUInt(), Micros(row[4].asInt64())};
}

} // namespace

FleetServer::FleetServer(ForwardState& state, Coordinator& coordinator,
                         ExchangeHandler& handler, ChangeReceiver& changes,
                         RelayHandler& relay)
    : m_rpc(std::make_unique<RpcServer>())
{
    m_rpc->add(find_kept_parts_method,
               [&coordinator](const Json::Value& parameters) {
                   const auto parts = parts_from_json(parameters);
                   const Micros timeout = json_micros(parameters, "longest_us");
                   return to_json(coordinator.find_kept_parts(
                       kept_space_from_json(parameters), parts, timeout));
               });
    m_rpc->add(cancel_saves_method,
               [&coordinator](const Json::Value& parameters) {
                   coordinator.cancel_saves(json_string(parameters, "space"),
                                            parts_from_json(parameters));
                   return Json::Value(Json::objectValue);
               });
    m_rpc->add(
        stop_answering_method, [&coordinator](const Json::Value& parameters) {
            Json::Value result;
            result["silent"] =
                coordinator.stop_answering(json_uint64(parameters, "token"),
                                           json_string(parameters, "address"));
            return result;
        });
    m_rpc->add(coordinator_method, [&state](const Json::Value&) {
        Json::Value result;
        result["address"] = state.fleet.with(
            [](FleetView& view) { return view.coordinator_address(); });
        return result;
    });
    m_rpc->add(parents_method, [&state](const Json::Value& parameters) {
        Json::Value result;
        result["parents"] = json_strings(
            state.parents_of({json_string(parameters, "name"),
                              json_string(parameters, "address"),
                              json_string(parameters, "zone"),
                              json_double(parameters, "link_mbps")}));
        return result;
    });
    m_rpc->add(look_method, [&state](const Json::Value& parameters) {
        const auto fate =
            look_for_peer(state, json_string(parameters, "runner"));
        Json::Value result(Json::objectValue);
        if (fate)
            result["fate"] = fate_name(*fate);
        return result;
    });
    m_rpc->add(reach_method, [&state](const Json::Value& parameters) {
        const auto reach =
            own_reach(state, strings_from_json(parameters["runners"]));
        Json::Value result;
        result["reached"] = json_strings(reach.reached);
        result["missed"] = Json::UInt64(reach.unreached);
        return result;
    });
    m_rpc->add(offer_method, [&coordinator](const Json::Value& parameters) {
        coordinator.offer_duty(json_bool(parameters, "free"));
        return Json::Value(Json::objectValue);
    });
    m_rpc->add(find_stream_method, [&state](const Json::Value& parameters) {
        const auto origin = state.origins.with([&](const StreamOrigins& known) {
            return known.find(json_string(parameters, "stream"),
                              monotonic_now());
        });
        Json::Value result;
        const std::string service = json_string(parameters, "service");
        result["several"] = state.is_mixed(service);
        result["software"] = state.only_software(service).value_or("");
        if (origin)
            result["origin"] = stream_to_json(*origin);
        return result;
    });
    m_rpc->add(tell_streams_method, [&state](const Json::Value& parameters) {
        const auto origins =
            list_from_json(parameters["streams"], stream_from_json);
        state.origins.with([&origins](StreamOrigins& known) {
            for (const StreamOrigin& origin : origins)
                known.merge(origin, monotonic_now());
        });
        return Json::Value(Json::objectValue);
    });
    m_rpc->add(streams_of_method, [&state](const Json::Value& parameters) {
        Json::Value result;
        result["streams"] = json_list(
            state.streams_of(json_string(parameters, "name")), stream_to_json);
        return result;
    });
    m_rpc->add(exchange_method, [&handler](const Json::Value& parameters) {
        return to_json(
            handler.exchange(exchange_request_from_json(parameters)));
    });
    m_rpc->add(store_snapshot_method, [&changes](const Json::Value&) {
        Json::Value result;
        const TimePoint now = monotonic_now();
        // Asked first: changes may arrive before the page is made.
        const Micros age = changes.age(now);
        const ChangePage page = changes.changes_since(std::nullopt);
        result["page"] = to_json(page);
        result["age_us"] =
            Json::Int64((age + changes.since_packed(page, now)).count());
        return result;
    });
    HttpServerRules rules;
    rules.most_threads = server_threads + static_cast<int>(relay.most_open());
    rules.most_queued = max_waiting;
    rules.single_fields = state.single_fields;
    m_server = std::make_unique<HttpServer>(
        state.settings.peer_address(), rules,
        [this, &relay](auto& request, auto& answer) {
            if (RelayHandler::is_relayed(request)) {
                relay.handle(request, answer);
                return;
            }
            try {
                send_answer(answer, success, "application/json",
                            m_rpc->handle(read_body(request, max_body_bytes)));
            } catch (const std::exception& failure) {
                LogLine("peer_connection").field("error", failure.what());
            }
        });
}

FleetServer::~FleetServer() = default;

void
FleetServer::close_after_answers()
{
    m_server->close_after_answers();
}

FleetClient::FleetClient(const std::string& address)
    : m_client(address, HttpTimeouts{connect_timeout, call_timeout},
               answer_limit)
{
}

Json::Value
FleetClient::call(const char* method, const Json::Value& parameters,
                  Micros timeout)
{
    try {
        RpcClient client([this, timeout](const std::string& request) {
            HttpRequest http;
            http.path = rpc_path;
            http.receive_timeout = timeout;
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
FleetClient::find_kept_parts(const KeptSpace& space,
                             std::span<const PromptPart> parts, Micros timeout)
{
    Json::Value parameters = to_json(space.text(), parts);
    parameters["longest_us"] = Json::Int64(timeout.count());
    KeptAnswer answer = kept_answer_from_json(
        call(find_kept_parts_method, parameters, call_timeout));
    if (answer.places.size() != parts.size())
        throw Error(ErrorCode::PeerUnavailable,
                    "the number of places differs from the number of parts");
    return answer;
}

void
FleetClient::cancel_saves(const std::string& space,
                          std::span<const PromptPart> parts)
{
    call(cancel_saves_method, to_json(space, parts), call_timeout);
}

bool
FleetClient::stop_answering(std::uint64_t token, const std::string& address)
{
    Json::Value parameters;
    parameters["token"] = Json::UInt64(token);
    parameters["address"] = address;
    return json_bool(call(stop_answering_method, parameters, call_timeout),
                     "silent");
}

std::string
FleetClient::coordinator_address()
{
    return json_string(
        call(coordinator_method, Json::Value(Json::objectValue), call_timeout),
        "address");
}

std::vector<std::string>
FleetClient::parents_of(const InstanceInfo& instance)
{
    Json::Value parameters;
    parameters["name"] = instance.name;
    parameters["address"] = instance.address;
    parameters["zone"] = instance.zone;
    parameters["link_mbps"] = instance.link_mbps;
    return strings_from_json(
        call(parents_method, parameters, start_timeout)["parents"]);
}

StoreSnapshot
FleetClient::store_snapshot()
{
    const Json::Value answer =
        call(store_snapshot_method, Json::Value(Json::objectValue),
             large_answer_timeout);
    return {change_page_from_json(answer["page"]),
            json_micros(answer, "age_us")};
}

std::optional<ProcessFate>
FleetClient::look_at_runner(const std::string& runner)
{
    Json::Value parameters;
    parameters["runner"] = runner;
    return fate_from_name(
        json_string(call(look_method, parameters, look_timeout), "fate"));
}

DutyPlacement::PeerReach
FleetClient::reach(const std::vector<std::string>& runners)
{
    Json::Value parameters;
    parameters["runners"] = json_strings(runners);
    const Json::Value answer = call(reach_method, parameters, reach_timeout);
    return {strings_from_json(answer["reached"]),
            json_uint64(answer, "missed")};
}

void
FleetClient::offer_duty(bool is_free)
{
    Json::Value parameters;
    parameters["free"] = is_free;
    call(offer_method, parameters, call_timeout);
}

StreamAnswer
FleetClient::find_stream(const std::string& stream, const std::string& service)
{
    Json::Value parameters;
    parameters["stream"] = stream;
    parameters["service"] = service;
    const Json::Value answer =
        call(find_stream_method, parameters, call_timeout);
    StreamAnswer result;
    result.several = json_bool(answer, "several");
    result.software = json_string(answer, "software");
    if (answer.isMember("origin"))
        result.origin = stream_from_json(answer["origin"]);
    return result;
}

void
FleetClient::tell_streams(std::span<const StreamOrigin> origins)
{
    Json::Value parameters;
    parameters["streams"] = json_list(origins, stream_to_json);
    call(tell_streams_method, parameters, call_timeout);
}

std::vector<StreamOrigin>
FleetClient::streams_of(const std::string& name)
{
    Json::Value parameters;
    parameters["name"] = name;
    return list_from_json(
        call(streams_of_method, parameters, large_answer_timeout)["streams"],
        stream_from_json);
}

ExchangeResponse
FleetClient::exchange(const ExchangeRequest& request)
{
    return exchange_response_from_json(
        call(exchange_method, to_json(request), large_answer_timeout));
}

} // namespace crosslink
