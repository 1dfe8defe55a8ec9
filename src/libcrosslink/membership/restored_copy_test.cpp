// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/restored_copy.h>

#include <catch2/catch.hpp>

#include <vector>

namespace crosslink
{

namespace
{

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

const std::vector<KeyChange> two_keys{{"a", "1", 7}, {"b", std::nullopt, 8}};
const std::vector<KeyChange> first_key{{"a", "2", 9}};

} // namespace

TEST_CASE("keys of a copy wait for their writers, and hold after that")
{
    RestoredCopy copy;
    CHECK_FALSE(copy.is_pending());
    copy.begin(two_keys, at(0));
    CHECK(copy.is_pending());
    CHECK(copy.take_due(at(4900)).empty());
    CHECK(copy.take_due(at(5000)) == std::set<std::string>{"a", "b"});
    CHECK_FALSE(copy.is_pending());
    CHECK(copy.take_due(at(9000)).empty());
}

TEST_CASE("what was written again is not put back")
{
    RestoredCopy copy;
    copy.begin(two_keys, at(0));
    copy.written(first_key);
    CHECK(copy.take_due(at(5000)) == std::set<std::string>{"b"});
}

TEST_CASE("a second copy starts the time anew for all keys")
{
    RestoredCopy copy;
    copy.begin(two_keys, at(0));
    copy.written(two_keys);
    copy.begin(two_keys, at(1000));
    copy.begin(first_key, at(4000));
    CHECK(copy.take_due(at(8900)).empty());
    CHECK(copy.take_due(at(9000)).size() == 2);
}

} // namespace crosslink
