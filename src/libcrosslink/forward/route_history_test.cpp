// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/route_history.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/forward/stream_origins.h>

#include <catch2/catch.hpp>

#include <initializer_list>
#include <vector>

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
    history.in_force(before, start);
    history.in_force(after, start);
    return history.shared(start);
}

} // namespace

TEST_CASE("a route that no path finds shares no streams and ends no instance")
{
    const ServiceMap odd =
        map_of({route("", {{"one", 1}}), route("/a", {{"two", 1}})});
    CHECK(shared_after(odd, map_of({})).empty());
    CHECK(shared_after(map_of({}), odd).empty());
}

TEST_CASE("the services of a split route share its streams")
{
    RouteHistory history;
    const ServiceMap split =
        map_of({route("/a/", {{"one", 1}, {"two", 3}, {"idle", 0}}),
                route("/b/", {{"three", 1}})});
    history.in_force(split, start);
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
    history.in_force(before, start);
    CHECK(history.shared(start).empty());
    history.in_force(after, start);
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

TEST_CASE("routes that only the record names count as ones that were in force")
{
    RouteHistory history;
    const RecordedRoutes before =
        resumable_routes(map_of({route("/a/", {{"one", 1}})}));
    history.recorded(before, start);
    history.in_force(map_of({route("/a/", {{"two", 1}})}), start);
    CHECK(history.shared(start) == Services{"one", "two"});
    CHECK(history.to_unrecord(start).empty());
    const TimePoint end = start + StreamOrigins::lifetime;
    CHECK(history.shared(end).empty());
    CHECK(history.to_unrecord(end) == std::vector{before.id});
    history.unrecorded(before.id, end);
    CHECK(history.to_unrecord(end).empty());
}

TEST_CASE("routes in force are recorded once, and again when that is lost")
{
    RouteHistory history;
    const ServiceMap map = map_of({route("/a/", {{"one", 1}})});
    history.in_force(map, start);
    REQUIRE(history.to_record(start).size() == 1);
    const RecordedRoutes routes = history.to_record(start).front();
    CHECK(routes.id == resumable_routes(map).id);
    history.recorded(routes, start);
    CHECK(history.to_record(start).empty());
    const TimePoint later = start + 2 * StreamOrigins::lifetime;
    CHECK(history.to_unrecord(later).empty());
    history.recorded_only({}, later);
    CHECK(history.to_record(later).size() == 1);
}

TEST_CASE("routes that came and went before a record are recorded too")
{
    RouteHistory history;
    history.in_force(map_of({route("/a/", {{"one", 1}})}), start);
    history.in_force(map_of({route("/a/", {{"two", 1}})}), start);
    CHECK(history.to_record(start).size() == 2);
    const TimePoint end = start + StreamOrigins::lifetime;
    CHECK(history.to_record(end).size() == 1);
}

TEST_CASE("a configuration without resumable routes is not recorded")
{
    ServiceRoute plain = route("/a/", {{"one", 1}});
    plain.resumable = false;
    RouteHistory history;
    history.in_force(map_of({plain}), start);
    CHECK(history.to_record(start).empty());
}

TEST_CASE("a record that comes after the configuration counts too")
{
    RouteHistory history;
    history.in_force(map_of({route("/a/", {{"two", 1}})}), start);
    history.recorded(resumable_routes(map_of({route("/a/", {{"one", 1}})})),
                     start);
    CHECK(history.shared(start) == Services{"one", "two"});
}

TEST_CASE("a storm of changes leaves the latest routes to be recorded")
{
    RouteHistory history;
    std::string latest;
    for (int number = 0; number < 100; ++number) {
        const ServiceMap map =
            map_of({route("/a/", {{std::to_string(number), 1}})});
        history.in_force(map, start);
        latest = resumable_routes(map).id;
    }
    const auto routes = history.to_record(start);
    CHECK(routes.size() < 10);
    CHECK(routes.back().id == latest);
    CHECK(history.shared(start).size() == 100);
}

TEST_CASE("a route that was away for a moment counts as moved")
{
    const ServiceMap before = map_of({route("/a/", {{"one", 1}})});
    const ServiceMap without = map_of({route("/b/", {{"three", 1}})});
    const ServiceMap after = map_of({route("/a/", {{"two", 1}})});
    RouteHistory saw;
    saw.in_force(before, start);
    saw.in_force(without, start);
    saw.in_force(after, start);
    CHECK(saw.shared(start) == Services{"one", "two"});
    RouteHistory started;
    started.recorded(resumable_routes(before), start);
    started.in_force(without, start);
    started.in_force(after, start);
    CHECK(started.shared(start) == Services{"one", "two"});
    RouteHistory late;
    late.in_force(before, start);
    late.in_force(without, start);
    late.in_force(after, start + StreamOrigins::lifetime);
    CHECK(late.shared(start + StreamOrigins::lifetime).empty());
}
