// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/starter_tree.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

constexpr const char* holder = "holder:1";
constexpr std::size_t zone_count = 5;

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

/// Returns an instance; one in twenty has a strong link.
InstanceInfo
instance(std::size_t number)
{
    const std::string name = "i" + std::to_string(number);
    const double link = number % 100 < zone_count ? 200 : 20;
    return {name, name + ":1", "z" + std::to_string(number % zone_count), link};
}

/// What the holder tells to a fleet that starts.
struct Told {
    std::size_t builds = 0;
    std::size_t to_the_holder = 0; ///< Instances that were told it first.
};

/// Plays `size` instances that all ask once a second for five seconds, evenly
/// spread; the platform lists none of them, or all.
Told
play(std::size_t size, bool are_listed)
{
    StarterTree::Instances listed;
    for (std::size_t i = 0; are_listed && i < size; ++i)
        listed[instance(i).name] = instance(i);
    StarterTree tree;
    std::set<std::string> asked_holder;
    constexpr int seconds = 5;
    for (int second = 0; second < seconds; ++second)
        for (std::size_t i = 0; i < size; ++i) {
            const int millis =
                second * 1000 + static_cast<int>(1000 * i / size);
            const std::vector<std::string> parents =
                tree.parents_of(instance(i), listed, holder, at(millis));
            if (!parents.empty() && parents.front() == holder)
                asked_holder.insert(instance(i).name);
        }
    return {tree.builds(), asked_holder.size()};
}

} // namespace

TEST_CASE("the tree of a fleet that starts is worked out a few times a second")
{
    for (const std::size_t size : {100, 985, 1970, 3940}) {
        CAPTURE(size);
        CHECK(play(size, true).builds <= 25);
        // While the fleet grows from one to all, the tree changes as well.
        CHECK(play(size, false).builds <= 60);
    }
}

TEST_CASE("few of the instances that start are told to poll the holder")
{
    for (const std::size_t size : {100, 985, 1970, 3940}) {
        CAPTURE(size);
        CHECK(play(size, true).to_the_holder <= max_children_of_holder);
        CHECK(play(size, false).to_the_holder <= 5 * max_children_of_holder);
    }
}

TEST_CASE("instances that ask again are in the tree, listed or not")
{
    StarterTree tree;
    StarterTree::Instances listed;
    for (std::size_t i = 0; i < 40; ++i)
        listed[instance(i).name] = instance(i);
    std::vector<std::string> first;
    for (std::size_t i = 40; i < 80; ++i)
        first = tree.parents_of(instance(i), listed, holder, at(0));
    for (std::size_t i = 40; i < 80; ++i)
        listed[instance(i).name] = instance(i);
    std::vector<InstanceInfo> all;
    for (const auto& [name, each] : listed)
        all.push_back(each);
    const InstanceInfo last = instance(79);
    CHECK(tree.parents_of(last, listed, holder, at(1000)) ==
          FleetTree(all, holder).parents(last.name, last.zone, last.address));
}

TEST_CASE("a new holder is told at once")
{
    StarterTree tree;
    const StarterTree::Instances none;
    tree.parents_of(instance(0), none, holder, at(0));
    const std::vector<std::string> parents =
        tree.parents_of(instance(1), none, "other:1", at(1));
    CHECK(parents == std::vector<std::string>{"other:1"});
}

} // namespace crosslink
