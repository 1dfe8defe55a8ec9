// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/runner_table.h>

#include <string>

/// Runners that serve one model, and calls to them.
namespace crosslink::testing::model_runners
{

inline constexpr const char* model = "m";

inline ListedRunner
runner(const std::string& id, const std::string& zone,
       std::uint64_t version = 1)
{
    ListedRunner listed;
    listed.id = id;
    listed.service = "s";
    listed.address = "127.0.0.1:1";
    listed.zone = zone;
    listed.slots = 64;
    listed.models = {{model, version}};
    return listed;
}

inline TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

inline RunnerQuery
query(int millis = 0)
{
    RunnerQuery query;
    query.service = "s";
    query.zone = "a";
    query.model = model;
    query.newest_version = 1;
    query.now = at(millis);
    return query;
}

/// A prompt that takes `resident` of the 70,000 tokens that a runner has.
inline RunnerQuery
query_of(std::uint64_t resident, int millis = 0)
{
    RunnerQuery asked = query(millis);
    asked.memory_tokens = 70'000;
    asked.resident = resident;
    return asked;
}

inline std::string
chosen(const RunnerTable& table, const RunnerQuery& asked)
{
    const auto pick = table.choose(asked);
    return pick ? pick->id : "";
}

} // namespace crosslink::testing::model_runners
