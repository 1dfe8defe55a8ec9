// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/route_history.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/forward/stream_origins.h>

#include <catch2/catch.hpp>

#include <initializer_list>

using namespace crosslink;

namespace
{

const TimePoint start{std::chrono::hours(1)};

using Services = RouteHistory::Services;

ServiceRoute
route(const std::string& prefix, std::initializer_list<WeightedService> to)
{
    ServiceRoute result;
    result.host = "shop.example";
    result.path_prefix = prefix;
    result.resumable = true;
    result.services = to;
    return result;
}

ServiceMap
map_of(std::initializer_list<ServiceRoute> routes)
{
    ServiceMap map;
    for (const ServiceRoute& item : routes)
        map.add_route(item);
    return map;
}

Services
shared_after(const ServiceMap& before, const ServiceMap& after)
{
    RouteHistory history;
    history.replaced(nullptr, before, start);
    history.replaced(&before, after, start);
    return history.shared(start);
}

} // namespace

TEST_CASE("the services of a split route share its streams")
{
    RouteHistory history;
    const ServiceMap split =
        map_of({route("/a/", {{"one", 1}, {"two", 3}, {"idle", 0}}),
                route("/b/", {{"three", 1}})});
    history.replaced(nullptr, split, start);
    CHECK(history.shared(start) == Services{"one", "two"});
    CHECK(history.shared("two", start));
    CHECK_FALSE(history.shared("idle", start));
    CHECK_FALSE(history.shared("three", start));
}

TEST_CASE("a route that moved counts until no stream of it can go on")
{
    RouteHistory history;
    const ServiceMap before = map_of({route("/a/", {{"one", 1}})});
    const ServiceMap after = map_of({route("/a/", {{"two", 1}})});
    history.replaced(nullptr, before, start);
    CHECK(history.shared(start).empty());
    history.replaced(&before, after, start);
    CHECK(history.shared(start) == Services{"one", "two"});
    const TimePoint end = start + StreamOrigins::lifetime;
    CHECK_FALSE(history.shared("one", end));
    CHECK(history.shared(end).empty());
}

TEST_CASE("a route that was split until lately counts")
{
    const ServiceMap before = map_of({route("/a/", {{"one", 1}, {"two", 1}})});
    const ServiceMap after = map_of({route("/a/", {{"one", 1}, {"two", 0}})});
    CHECK(shared_after(before, after) == Services{"one", "two"});
}

TEST_CASE("a route that others take over or that takes over counts as moved")
{
    const ServiceMap wide = map_of({route("/", {{"one", 1}})});
    const ServiceMap both =
        map_of({route("/", {{"one", 1}}), route("/a/", {{"two", 1}})});
    CHECK(shared_after(wide, both) == Services{"one", "two"});
    CHECK(shared_after(both, wide) == Services{"one", "two"});
}

TEST_CASE("routes whose streams nobody takes up do not count as moved")
{
    ServiceRoute plain = route("/a/", {{"one", 1}, {"two", 1}});
    plain.resumable = false;
    const ServiceMap before = map_of({plain});
    const ServiceMap after = map_of({route("/a/", {{"three", 1}})});
    CHECK(shared_after(before, after).empty());
    CHECK(shared_after(after, before).empty());
    CHECK(shared_after(after, after).empty());
}
