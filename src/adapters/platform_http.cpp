// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "platform_http.h"

#include "wire.h"

namespace crosslink
{

namespace
{

constexpr int throttled = 429;
constexpr int first_success = 200;
constexpr int first_redirect = 300;
/// The largest values are parts of configurations and logs of claims.
constexpr AnswerLimit answer_limit{16U << 20U};
constexpr Micros come_back = std::chrono::seconds(1);

std::optional<PlatformRecord>
record_from_json(const Json::Value& value)
{
    if (!json_bool(value, "found"))
        return std::nullopt;
    return PlatformRecord{json_string(value, "value"),
                          json_uint64(value, "version")};
}

SwapOutcome
outcome_from_json(const Json::Value& value)
{
    return {json_bool(value, "applied"), json_uint64(value, "version")};
}

Json::Value
named(std::string_view key)
{
    Json::Value body;
    body["key"] = std::string(key);
    return body;
}

} // namespace

PlatformHttp::PlatformHttp(const std::string& address, HttpTimeouts timeouts)
    : m_client(address, timeouts, answer_limit)
{
}

Json::Value
PlatformHttp::ask(std::string_view path, const Json::Value& body, bool changes)
{
    ++m_calls;
    HttpRequest request;
    request.path = path;
    request.body = json_text(body);
    HttpAnswer answer;
    try {
        answer = m_client.exchange(request);
    } catch (const Error& failure) {
        const bool unclear = changes && !is_not_run(failure.run_state());
        throw Error(unclear ? ErrorCode::PlatformOutcomeUnknown
                            : ErrorCode::PlatformUnavailable,
                    failure.what(), failure.run_state(), come_back);
    }
    if (answer.status == throttled)
        throw Error(ErrorCode::PlatformThrottled,
                    "the platform turned the call away",
                    RunState::NotDispatched, come_back);
    if (answer.status < first_success || answer.status >= first_redirect)
        throw Error(ErrorCode::PlatformUnavailable,
                    "the platform answered " + std::to_string(answer.status),
                    RunState::RefusedBeforeRun, come_back);
    return parse_json(answer.body);
}

std::optional<PlatformRecord>
PlatformHttp::read(std::string_view key)
{
    return record_from_json(ask("/kv/read", named(key), false));
}

std::vector<NamedRecord>
PlatformHttp::list(std::string_view prefix)
{
    Json::Value body;
    body["prefix"] = std::string(prefix);
    std::vector<NamedRecord> records;
    for (const Json::Value& item : ask("/kv/list", body, false)["records"])
        records.push_back(
            {json_string(item, "key"),
             {json_string(item, "value"), json_uint64(item, "version")}});
    return records;
}

SwapOutcome
PlatformHttp::write_if(std::string_view key, std::string_view value,
                       std::uint64_t expected)
{
    Json::Value body = named(key);
    body["value"] = std::string(value);
    body["expected"] = Json::UInt64(expected);
    return outcome_from_json(ask("/kv/write", body, true));
}

SwapOutcome
PlatformHttp::remove_if(std::string_view key, std::uint64_t expected)
{
    Json::Value body = named(key);
    body["expected"] = Json::UInt64(expected);
    return outcome_from_json(ask("/kv/remove", body, true));
}

std::optional<PlatformRecord>
PlatformHttp::watch(std::string_view key, std::uint64_t seen, Micros wait)
{
    Json::Value body = named(key);
    body["seen"] = Json::UInt64(seen);
    body["wait_ms"] = Json::UInt64(whole_millis(wait));
    return record_from_json(ask("/kv/watch", body, false));
}

std::optional<PlatformLease>
PlatformHttp::take_lease(std::string_view name, std::string_view holder,
                         Micros time_to_live)
{
    Json::Value body;
    body["name"] = std::string(name);
    body["holder"] = std::string(holder);
    body["ttl_ms"] = Json::UInt64(whole_millis(time_to_live));
    const Json::Value answer = ask("/lease/take", body, true);
    if (!json_bool(answer, "granted"))
        return std::nullopt;
    return PlatformLease{std::string(name), json_uint64(answer, "token"),
                         time_to_live};
}

void
PlatformHttp::release_lease(std::string_view name, std::uint64_t token)
{
    Json::Value body;
    body["name"] = std::string(name);
    body["token"] = Json::UInt64(token);
    ask("/lease/release", body, true);
}

std::vector<ListedInstance>
PlatformHttp::instances()
{
    std::vector<ListedInstance> result;
    const Json::Value answer =
        ask("/instances/list", Json::Value(Json::objectValue), false);
    for (const Json::Value& item : answer["instances"])
        result.push_back(wire::instance_from_json(item));
    return result;
}

void
PlatformHttp::announce(const ListedInstance& self)
{
    ask("/instances/announce", wire::instance_to_json(self), true);
}

} // namespace crosslink
