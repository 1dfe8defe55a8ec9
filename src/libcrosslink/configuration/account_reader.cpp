// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "account_reader.h"

#include <crosslink/base/error.h>

#include <limits>

namespace crosslink::pvt
{

namespace
{

constexpr double max_rate = 1e5;
constexpr double max_token_rate = 1e9;
constexpr std::uint32_t max_concurrent = 100'000;
constexpr std::uint32_t max_priority = 9;
constexpr std::uint32_t all_callers = 100;
constexpr std::uint64_t max_objective_ms = 3'600'000;

void
read_model(FieldReader& reader, ModelGrant& grant)
{
    reader.string("model", grant.model, true);
    reader.string("version", grant.version, true);
    reader.strings("adapters", grant.adapters);
}

void
read_service(FieldReader& reader, PlainServiceGrant& grant)
{
    reader.string("service", grant.service, true);
    reader.string("path_prefix", grant.path_prefix, true);
    if (!grant.path_prefix.starts_with('/'))
        reader.report_mistake("path_prefix", "must begin with '/'");
    if (grant.path_prefix.starts_with("/v1/"))
        reader.report_mistake("path_prefix",
                              "must not cover crosslink's own /v1/");
    reader.objects("not_repeatable", [&grant](FieldReader& item) {
        NotRepeatable& call = grant.not_repeatable.emplace_back();
        item.string("method", call.method, true);
        item.string("path_prefix", call.path_prefix, true);
    });
}

void
read_split(FieldReader& reader, TrafficSplit& split)
{
    reader.string("call_class", split.call_class, true);
    reader.string("old_service", split.old_service, true);
    reader.integer("new_share", split.new_share, 0, all_callers);
}

void
read_limits(FieldReader& reader, AccountLimits& limits)
{
    reader.number("requests_per_second", limits.requests_per_second, 0.01,
                  max_rate);
    reader.number("tokens_per_second", limits.tokens_per_second, 1,
                  max_token_rate);
    reader.integer("concurrent", limits.concurrent, 1, max_concurrent);
    reader.integer("kept_bytes", limits.kept_bytes, 0,
                   std::numeric_limits<std::uint64_t>::max());
}

void
read_milliseconds(FieldReader& reader, const char* name, Micros& value)
{
    std::uint64_t millis = static_cast<std::uint64_t>(value.count()) / 1000;
    reader.integer(name, millis, 1, max_objective_ms);
    value = std::chrono::milliseconds(millis);
}

void
read_objectives(FieldReader& reader, Objectives& objectives)
{
    read_milliseconds(reader, "first_token_ms", objectives.first_token);
    read_milliseconds(reader, "between_tokens_ms", objectives.between_tokens);
    reader.number("target_share", objectives.target_share, 0, 1);
    reader.number("answered_share", objectives.answered_share, 0, 1);
}

void
read_undated_keys(FieldReader& reader, UndatedKeyPolicy& value)
{
    std::string text;
    reader.string("undated_keys", text);
    if (text == "remember")
        value = UndatedKeyPolicy::Remember;
    else if (!text.empty() && text != "refuse")
        reader.report_mistake("undated_keys",
                              "must be \"refuse\" or \"remember\"");
}

} // namespace

void
read_account_policy(FieldReader& reader, AccountPolicy& policy)
{
    reader.objects("models", [&policy](FieldReader& item) {
        read_model(item, policy.models.emplace_back());
    });
    reader.objects("plain_services", [&policy](FieldReader& item) {
        read_service(item, policy.plain_services.emplace_back());
    });
    reader.objects("splits", [&policy](FieldReader& item) {
        read_split(item, policy.splits.emplace_back());
    });
    reader.integer("priority", policy.priority, 0, max_priority);
    reader.number("weight", policy.weight, 0.01, 1000);
    reader.object("limits", [&policy](FieldReader& item) {
        read_limits(item, policy.limits);
    });
    reader.object("objectives", [&policy](FieldReader& item) {
        read_objectives(item, policy.objectives);
    });
    read_undated_keys(reader, policy.undated_keys);
}

void
read_key_hashes(FieldReader& reader, ClientAccount& account)
{
    std::vector<std::string> hashes;
    reader.strings("key_hashes", hashes);
    for (const std::string& hash : hashes) {
        try {
            account.key_hashes.push_back(Digest::from_hex(hash));
        } catch (const Error&) {
            reader.report_mistake(
                "key_hashes",
                "must hold SHA-256 hashes of 64 hexadecimal digits");
        }
    }
}

} // namespace crosslink::pvt
