// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/service_map.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

ServiceRoute
route(const std::string& name, const std::string& host,
      const std::string& prefix)
{
    ServiceRoute route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    route.services = {{"s", 1}};
    return route;
}

} // namespace

TEST_CASE("the route with the longest prefix of the path is found")
{
    ServiceMap map;
    map.add_route(route("short", "h", "/a/"));
    map.add_route(route("long", "h", "/a/b/"));
    map.add_route(route("other", "g", "/a/b/c/"));
    CHECK(map.find_route("h", "/a/b/c")->name == "long");
    CHECK(map.find_route("h", "/a/b/")->name == "long");
    CHECK(map.find_route("h", "/a/b")->name == "short");
    CHECK(map.find_route("h", "/a/bb/c")->name == "short");
    CHECK(map.find_route("g", "/a/b/c/d")->name == "other");
    CHECK(map.find_route("h", "/b/a/") == nullptr);
    CHECK(map.find_route("x", "/a/") == nullptr);
    CHECK(map.find_route("h", "/a") == nullptr);
}

TEST_CASE("a root route takes every path of its host")
{
    ServiceMap map;
    map.add_route(route("root", "h", "/"));
    CHECK(map.find_route("h", "/")->name == "root");
    CHECK(map.find_route("h", "/x/y")->name == "root");
}

TEST_CASE("a host is the same in capitals and with a port")
{
    ServiceMap map;
    map.add_route(route("shop", "Shop.example", "/"));
    map.add_route(route("address", "[::1]", "/"));
    map.add_route(route("port", "Shop.example:8443", "/"));
    CHECK(map.find_route("shop.Example:8443", "/")->name == "port");
    for (const char* host : {"shop.example", "SHOP.example", "shop.example:80",
                             "Shop.Example:", "shop.example:65535"}) {
        REQUIRE(map.find_route(host, "/"));
        CHECK(map.find_route(host, "/")->name == "shop");
    }
    CHECK(map.find_route("[::1]", "/")->name == "address");
    CHECK(map.find_route("[::1]:80", "/")->name == "address");
    for (const char* host : {"shop.example:x", "shop.example.", ":80", "",
                             "other:shop.example", "shop.example:80:80"})
        CHECK(map.find_route(host, "/") == nullptr);
}

TEST_CASE("a key opens its account and no other")
{
    ServiceMap map;
    map.accounts = {{"one"}, {"two"}};
    map.add_key("k1", 0);
    map.add_key("k2", 1);
    CHECK(map.find_account("k1")->name == "one");
    CHECK(map.find_account("k2")->name == "two");
    CHECK(map.find_account("k") == nullptr);
    CHECK(map.find_account("") == nullptr);
}

TEST_CASE("a store is found by its address")
{
    ServiceMap map;
    KeptStoreInfo store;
    store.address = "10.0.0.1:1";
    store.zone = "b";
    map.stores.push_back(store);
    REQUIRE(map.find_store("10.0.0.1:1"));
    CHECK(map.find_store("10.0.0.1:1")->zone == "b");
    CHECK(!map.find_store("10.0.0.2:1"));
}

TEST_CASE("a traffic split follows the weights of its services")
{
    ServiceRoute split = route("r", "h", "/");
    split.services = {{"old", 90}, {"new", 10}, {"none", 0}};
    int of_new = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const std::string& service = split.pick_service(i);
        CHECK(service != "none");
        of_new += service == "new" ? 1 : 0;
    }
    CHECK(of_new == 100);
}

TEST_CASE("only safe calls and resumable streams may be repeated")
{
    ServiceRoute item = route("r", "h", "/");
    item.kind = CallKind::Safe;
    CHECK(item.repeatable());
    item.kind = CallKind::Once;
    item.resumable = true;
    CHECK_FALSE(item.repeatable());
    item.kind = CallKind::Stream;
    CHECK(item.repeatable());
    item.resumable = false;
    CHECK_FALSE(item.repeatable());
}

} // namespace crosslink
