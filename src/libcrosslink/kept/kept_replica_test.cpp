// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_replica.h>
#include <crosslink/membership/fencing_token.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace crosslink
{

namespace
{

const KeptSpace space{"", "m", 1, 7};

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

KeptUpdate
update(std::uint64_t place, bool whole, RunnerMillis clock,
       std::vector<KeptEntry> entries)
{
    KeptUpdate reported;
    reported.ready = true;
    reported.term = 7;
    reported.place = place;
    reported.is_snapshot = whole;
    reported.clock = clock;
    reported.entries = std::move(entries);
    return reported;
}

KeptEntry
kept(const std::string& id, const std::string& store)
{
    return {space.text(), id, store};
}

/// Returns the store of the part `id` according to `replica`; empty for none.
std::string
store_of(const KeptReplica& replica, const std::string& id, TimePoint now)
{
    const std::vector<PromptPart> parts{{id, 100}};
    const auto answer = replica.find(space, parts, true, now);
    return answer ? answer->places[0].store : std::string();
}

/// Updates `child` from `parent` at `now`.
void
learn(KeptReplica& child, const KeptReplica& parent, TimePoint now)
{
    const auto [term, place] = child.position();
    child.take(parent.update_since(term, place, now), now);
}

} // namespace

TEST_CASE("a copy is handed on whole, and then change by change")
{
    KeptReplica parent;
    KeptReplica child;
    CHECK_FALSE(parent.update_since(0, 0, at(0)).ready);
    parent.take(update(5, true, 1000, {kept("a", "s1"), kept("b", "s1")}),
                at(0));
    CHECK(parent.update_since(0, 0, at(10)).is_snapshot);
    learn(child, parent, at(10));
    CHECK(store_of(child, "a", at(20)) == "s1");
    parent.take(update(7, false, 1200, {kept("a", ""), kept("c", "s2")}),
                at(200));
    const KeptUpdate next = parent.update_since(7, 5, at(210));
    CHECK_FALSE(next.is_snapshot);
    CHECK(next.entries.size() == 2);
    learn(child, parent, at(210));
    CHECK(store_of(child, "a", at(220)).empty());
    CHECK(store_of(child, "b", at(220)) == "s1");
    CHECK(store_of(child, "c", at(220)) == "s2");
    CHECK(parent.update_since(7, 7, at(230)).entries.empty());
}

TEST_CASE("what is handed on holds no longer than what the holder told")
{
    const RunnerMillis reported = 1000;
    KeptReplica parent;
    parent.take(update(5, true, reported, {kept("a", "s1")}), at(0));
    KeptReplica child;
    learn(child, parent, at(2000));
    const std::vector<PromptPart> parts{{"a", 100}};
    const auto answer = child.find(space, parts, true, at(2100));
    REQUIRE(answer);
    const auto validity = static_cast<RunnerMillis>(kept_answer_time.count());
    CHECK(answer->places[0].until == reported + validity);
    CHECK(answer->clock == reported + 2100);
    // However often it is handed on, the age adds up.
    KeptReplica grandchild;
    learn(grandchild, child, at(2900));
    CHECK_FALSE(grandchild.find(space, parts, true, at(2900)));
}

TEST_CASE("a copy tells parts only to prompts with the same zones")
{
    KeptSpace bound = space;
    bound.zones = {"zone-b"};
    KeptReplica copy;
    copy.take(
        update(5, true, 1000, {kept("a", "s1"), {bound.text(), "b", "s2"}}),
        at(0));
    const std::vector<PromptPart> parts{{"a", 100}};
    const std::vector<PromptPart> bound_parts{{"b", 100}};
    CHECK(copy.find(space, parts, true, at(10)));
    CHECK_FALSE(copy.find(bound, parts, true, at(10)));
    CHECK(copy.find(bound, bound_parts, true, at(10)));
    CHECK_FALSE(copy.find(space, bound_parts, true, at(10)));
}

TEST_CASE("a copy does not go back to an earlier holder's")
{
    KeptReplica behind;
    behind.take(update(5, true, 1000, {kept("a", "s1")}), at(0));
    KeptUpdate later = update(1, true, 1100, {kept("b", "s2")});
    later.term = 9;
    KeptReplica copy;
    copy.take(later, at(100));
    learn(copy, behind, at(110));
    CHECK(copy.position() == std::pair<std::uint64_t, std::uint64_t>{9, 1});
    CHECK(store_of(copy, "a", at(120)).empty());
}

TEST_CASE("a holder of a later era of the platform's store has a later term")
{
    KeptReplica copy;
    KeptUpdate earlier = update(5, true, 1000, {kept("a", "s1")});
    earlier.term = fencing_token({1, 900});
    copy.take(earlier, at(0));
    KeptUpdate later = update(1, true, 1100, {kept("a", "s2")});
    later.term = fencing_token({2, 300});
    copy.take(later, at(100));
    CHECK(copy.position().first == later.term);
    copy.take(earlier, at(200));
    CHECK(copy.position().first == later.term);
    KeptSpace big = space;
    big.term = later.term;
    CHECK(KeptSpace::parse(big.text())->term == later.term);
}

TEST_CASE("a copy that knows more than its parent keeps what it knows")
{
    KeptReplica behind;
    KeptReplica copy;
    const KeptUpdate first = update(5, true, 1000, {kept("a", "s1")});
    behind.take(first, at(0));
    copy.take(first, at(0));
    copy.take(update(6, false, 1100, {kept("a", "")}), at(100));
    learn(copy, behind, at(150));
    CHECK(copy.position().second == 6);
    CHECK(store_of(copy, "a", at(160)).empty());
}

TEST_CASE("a copy that forgot changes hands on all there is")
{
    KeptReplica parent;
    parent.take(update(0, true, 1000, {}), at(0));
    constexpr std::uint64_t many = 5000;
    for (std::uint64_t place = 1; place <= many; ++place)
        parent.take(update(place, false, 1000, {kept("a", "s1")}), at(0));
    const KeptUpdate all = parent.update_since(7, 2, at(1));
    CHECK(all.is_snapshot);
    CHECK(all.place == many);
    CHECK(all.entries.size() == 1);
    CHECK_FALSE(parent.update_since(7, many - 1, at(1)).is_snapshot);
}

} // namespace crosslink
