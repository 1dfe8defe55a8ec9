// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fleet_tree.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

constexpr double strong = 200;
constexpr double weak = 20;

/// Returns `zones` zones of `each` instances; the first `strong_each` of a zone
/// have strong links.
std::vector<InstanceInfo>
fleet_of(int zones, int each, int strong_each)
{
    std::vector<InstanceInfo> instances;
    for (int zone = 0; zone < zones; ++zone)
        for (int i = 0; i < each; ++i) {
            const std::string name =
                "z" + std::to_string(zone) + "-" + std::to_string(i);
            instances.push_back({name, name + ":1", "z" + std::to_string(zone),
                                 i < strong_each ? strong : weak});
        }
    return instances;
}

std::vector<std::string>
parents(const FleetTree& tree, const InstanceInfo& instance)
{
    return tree.parents(instance.name, instance.zone, instance.address);
}

/// Returns how many instances poll each address first.
std::map<std::string, int>
pollers_by_parent(const std::vector<InstanceInfo>& instances,
                  const std::string& holder)
{
    const FleetTree tree(instances, holder);
    std::map<std::string, int> count;
    for (const InstanceInfo& instance : instances) {
        const auto asked = parents(tree, instance);
        if (!asked.empty() && instance.address != holder)
            ++count[asked.front()];
    }
    return count;
}

} // namespace

TEST_CASE("all instances of a small fleet poll the holder of the duty")
{
    const auto instances = fleet_of(3, 3, 3);
    const FleetTree tree(instances, "z1-1:1");
    for (const InstanceInfo& instance : instances) {
        CHECK_FALSE(tree.is_parent(instance.name, instance.zone));
        if (instance.address != "z1-1:1")
            CHECK(parents(tree, instance) ==
                  std::vector<std::string>{"z1-1:1"});
    }
}

TEST_CASE("in a large fleet a few strong instances of each zone ask for others")
{
    const auto instances = fleet_of(5, 59, 5);
    const FleetTree tree(instances, "z0-0:1");
    int asked_by_others = 0;
    for (const InstanceInfo& instance : instances) {
        if (!tree.is_parent(instance.name, instance.zone))
            continue;
        ++asked_by_others;
        CHECK(instance.link_mbps == strong);
        CHECK(parents(tree, instance) == std::vector<std::string>{"z0-0:1"});
    }
    CHECK(asked_by_others == 20);
}

TEST_CASE("an instance asks in its own zone first, and the holder last")
{
    const auto instances = fleet_of(5, 59, 4);
    const FleetTree tree(instances, "z0-0:1");
    const auto asked = tree.parents("z3-40", "z3", "z3-40:1");
    REQUIRE(asked.size() == 5);
    CHECK(asked.back() == "z0-0:1");
    CHECK(std::all_of(asked.begin(), asked.end() - 1, [](const auto& address) {
        return address.starts_with("z3-");
    }));
}

TEST_CASE("without a holder, parents have no parent themselves")
{
    const auto instances = fleet_of(2, 20, 20);
    const FleetTree tree(instances, "");
    for (const InstanceInfo& instance : instances) {
        const auto asked = parents(tree, instance);
        CHECK(asked.empty() == tree.is_parent(instance.name, instance.zone));
    }
}

TEST_CASE("no instance asks itself, and none is asked by too many")
{
    CHECK(rc::check([] {
        const int zones = *rc::gen::inRange(1, 13);
        const int each = *rc::gen::inRange(1, 40);
        const int strong_each = *rc::gen::inRange(0, each + 1);
        const auto instances = fleet_of(zones, each, strong_each);
        const std::string holder = instances.front().address;
        const FleetTree tree(instances, holder);
        for (const InstanceInfo& instance : instances) {
            const auto asked = parents(tree, instance);
            RC_ASSERT(std::find(asked.begin(), asked.end(), instance.address) ==
                      asked.end());
        }
        // Selection by weight is uneven: a parent has at most three times its
        // share.
        for (const auto& [address, count] :
             pollers_by_parent(instances, holder))
            if (address != holder)
                RC_ASSERT(count <= 3 * static_cast<int>(max_children));
    }));
}

TEST_CASE("the tree grows in depth, not in width")
{
    // 985 instances in five zones, twice and four times as many; ten strong
    // ones in each zone.
    for (const int each : {197, 394, 788}) {
        const auto instances = fleet_of(5, each, 10);
        const std::string holder = "z0-0:1";
        const FleetTree tree(instances, holder);
        const auto pollers = pollers_by_parent(instances, holder);
        CHECK(pollers.at(holder) <= static_cast<int>(max_children_of_holder));
        std::map<std::string, std::string> parent_of;
        std::map<std::string, const InstanceInfo*> by_address;
        for (const InstanceInfo& instance : instances) {
            by_address[instance.address] = &instance;
            if (instance.address != holder)
                parent_of[instance.address] = parents(tree, instance).front();
        }
        for (const auto& [address, count] : pollers)
            if (address != holder)
                CHECK(count <= 2 * static_cast<int>(max_children_of_strong));
        for (const auto& [address, parent] : parent_of) {
            int depth = 1;
            std::string next = parent;
            for (; next != holder; next = parent_of.at(next))
                ++depth;
            CHECK(depth <= 3);
            // Only the few that poll the holder do so across zones.
            CHECK((depth == 1 || by_address.at(parent)->zone ==
                                     by_address.at(address)->zone));
        }
    }
}

TEST_CASE("strong instances are polled by more where a zone has few of them")
{
    const auto instances = fleet_of(5, 197, 10);
    const FleetTree tree(instances, "z0-0:1");
    for (const InstanceInfo& instance : instances)
        if (tree.is_parent(instance.name, instance.zone))
            CHECK(instance.link_mbps == strong);
}

TEST_CASE("an instance keeps its other parents when one is gone")
{
    auto instances = fleet_of(1, 64, 64);
    const std::string holder = "elsewhere:1";
    const auto before =
        FleetTree(instances, holder).parents("z0-9", "z0", "z0-9:1");
    const std::string& gone = before.front();
    std::erase_if(instances, [&gone](const InstanceInfo& instance) {
        return instance.address == gone;
    });
    const auto after =
        FleetTree(instances, holder).parents("z0-9", "z0", "z0-9:1");
    CHECK(std::find(after.begin(), after.end(), gone) == after.end());
    CHECK(std::find(after.begin(), after.end(), before[1]) != after.end());
}

} // namespace crosslink
