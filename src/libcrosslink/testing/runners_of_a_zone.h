// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/runner_table.h>

#include <string>
#include <vector>

namespace crosslink::testing
{

inline TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

inline RunnerQuery
query(int millis)
{
    RunnerQuery query;
    query.service = "s";
    query.zone = "a";
    query.instance = "i";
    query.now = at(millis);
    return query;
}

/// A table of the only instance, before runners of its zone.
inline RunnerTable
table_of(const std::vector<std::string>& ids)
{
    RunnerTable table;
    table.members().listed({"i", "", "a", 0}, at(-5000));
    for (const std::string& id : ids) {
        ListedRunner listed;
        listed.id = id;
        listed.service = "s";
        listed.address = "127.0.0.1:1";
        listed.zone = "a";
        listed.slots = 64;
        table.put(listed, at(0));
    }
    return table;
}

} // namespace crosslink::testing
