// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_key.h>
#include <crosslink/forward/crash_suspects.h>

#include <catch2/catch.hpp>

#include <initializer_list>
#include <string>
#include <vector>

using namespace crosslink;

namespace
{

constexpr std::size_t min_ends = 3;
const std::string part = part_crash_key("part", "");
const std::string shared = part_crash_key("shared", "");
const std::string rare = part_crash_key("rare", "");
const std::string request = "0123456789abcdef01234567";

TimePoint
at(int millis)
{
    return TimePoint{} + std::chrono::hours(1) +
           std::chrono::milliseconds(millis);
}

/// A suspect under which the processes with these start times ended.
CrashSuspect
suspect(const std::string& key, std::initializer_list<std::uint64_t> ends,
        std::optional<TimePoint> answered_at = std::nullopt)
{
    CrashSuspect result{key, {}, answered_at};
    for (const std::uint64_t start_ms : ends)
        result.ends.push_back({"runner", start_ms, at(0)});
    return result;
}

/// Returns the keys of the culprits, with a mark on those that are tied.
std::vector<std::string>
culprits(const std::vector<CrashSuspect>& suspects)
{
    std::vector<std::string> names;
    for (const Culprit& culprit : find_culprits(suspects, min_ends))
        names.push_back(std::string(culprit.key) +
                        (culprit.is_tied ? " tied" : ""));
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("the key that explains all ends is at fault, and no other")
{
    CHECK(culprits({suspect(shared, {1, 2, 3}), suspect(rare, {2, 3, 4}),
                    suspect(part, {1, 2, 3, 4, 5})}) == Names{part});
    CHECK(culprits({suspect(part, {1, 2})}).empty());
    CHECK(culprits({}).empty());
}

TEST_CASE("ends that one key leaves unexplained are another one's")
{
    CHECK(culprits({suspect(part, {1, 2, 3, 4}), suspect(rare, {4, 5, 6, 7}),
                    suspect(shared, {3, 4, 5})})
              .size() == 2);
    // Too few of them.
    CHECK(culprits({suspect(part, {1, 2, 3, 4}), suspect(rare, {4, 5, 6})}) ==
          Names{part});
}

TEST_CASE("of equal suspects, a request or the longest unanswered is at fault")
{
    CHECK(culprits({suspect(part, {1, 2, 3}), suspect(request, {1, 2, 3})}) ==
          Names{request + " tied"});
    CHECK(culprits({suspect(shared, {1, 2, 3}, at(900)),
                    suspect(part, {1, 2, 3})}) == Names{part + " tied"});
    CHECK(culprits({suspect(shared, {1, 2, 3}, at(900)),
                    suspect(part, {1, 2, 3}, at(100))}) ==
          Names{part + " tied"});
    CHECK(culprits({suspect(part, {1, 2, 3}),
                    suspect(shared, {1, 2, 3}, at(900))}) ==
          Names{part + " tied"});
    // One more end decides.
    CHECK(culprits({suspect(shared, {1, 2, 3, 4}, at(900)),
                    suspect(part, {1, 2, 3})}) == Names{shared});
}

TEST_CASE("an end that several report is one")
{
    CHECK(is_same_end({"r", 7, at(0)}, {"r", 7, at(9000)}));
    CHECK_FALSE(is_same_end({"r", 7, at(0)}, {"r", 8, at(0)}));
    CHECK_FALSE(is_same_end({"r", 7, at(0)}, {"s", 7, at(0)}));
    CHECK(is_same_end({"r", 0, at(0)}, {"r", 0, at(1500)}));
    CHECK_FALSE(is_same_end({"r", 0, at(0)}, {"r", 0, at(2500)}));
}
