// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/duty_placement.h>

#include <catch2/catch.hpp>

using namespace crosslink;

namespace
{

constexpr std::size_t listed = 15;
constexpr Micros long_ago = DutyPlacement::calm_after;

DutyPlacement::HolderReach
misses(std::vector<DutyPlacement::Unreached> unreached,
       std::vector<std::string> reached_due = {})
{
    return {std::move(unreached), listed, std::move(reached_due)};
}

bool
is_better(const DutyPlacement::HolderReach& own,
          const DutyPlacement::PeerReach& peer)
{
    return DutyPlacement::is_better(own, DutyPlacement::runners_to_ask(own),
                                    peer);
}

} // namespace

TEST_CASE("a holder that misses runners which are due asks after a second")
{
    const Micros early = DutyPlacement::urgent_after - Micros{1};
    CHECK(DutyPlacement::runners_to_ask(misses({{"a", early, true}})).empty());
    CHECK(DutyPlacement::runners_to_ask(
              misses({{"a", DutyPlacement::urgent_after, true}})) ==
          std::vector<std::string>{"a"});
}

TEST_CASE("while none is due, a holder asks only where it misses many")
{
    CHECK(DutyPlacement::runners_to_ask(misses({{"a", long_ago, false}}))
              .empty());
    CHECK(DutyPlacement::runners_to_ask(
              misses({{"a", long_ago, false}, {"b", long_ago, false}})) ==
          std::vector<std::string>{"a", "b"});
    DutyPlacement::HolderReach large =
        misses({{"a", long_ago, false}, {"b", long_ago, false}});
    large.listed = 100;
    CHECK(DutyPlacement::runners_to_ask(large).empty());
}

TEST_CASE("a holder asks about few runners, those that are due first")
{
    const auto asked =
        DutyPlacement::runners_to_ask(misses({{"a", long_ago, false},
                                              {"b", long_ago, false},
                                              {"c", long_ago, true},
                                              {"d", long_ago, true}}));
    CHECK(asked == std::vector<std::string>{"c", "d", "a"});
}

TEST_CASE("while it can order others, a holder asks about these as well")
{
    const auto asked = DutyPlacement::runners_to_ask(
        misses({{"a", long_ago, true}}, {"b", "c", "d", "e"}));
    CHECK(asked == std::vector<std::string>{"b", "c", "d", "a"});
    CHECK(DutyPlacement::runners_to_ask(misses({{"a", Micros{0}, true}}, {"b"}))
              .empty());
}

TEST_CASE("while it can order others, it leaves the duty for far more only")
{
    const auto own =
        misses({{"a", long_ago, true}, {"b", long_ago, true}}, {"c"});
    CHECK(is_better(own, {{"a", "b", "c"}, 0}));
    CHECK_FALSE(is_better(own, {{"a", "b", "c"}, 1}));
    CHECK_FALSE(is_better(own, {{"a", "b"}, 0}));
    CHECK_FALSE(
        is_better(misses({{"a", long_ago, true}}, {"c"}), {{"a", "c"}, 0}));
}

TEST_CASE("where only runners out of reach are due, any that reaches one helps")
{
    const auto own = misses({{"a", long_ago, true}, {"b", long_ago, false}});
    CHECK(is_better(own, {{"a"}, 4}));
    CHECK_FALSE(is_better(own, {{"b"}, 4}));
    CHECK_FALSE(is_better(own, {{}, 0}));
}
