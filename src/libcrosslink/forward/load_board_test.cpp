// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/load_board.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("an instance learns the sum of all others, and only what is fresh")
{
    const auto at = [](int millis) {
        return TimePoint(std::chrono::milliseconds(millis));
    };
    LoadBoard board;
    board.told("one", {{"r", {1, 100}}}, at(0));
    board.told("two", {{"r", {2, 200}}, {"q", {1, 1}}}, at(0));
    board.told("three", {{"r", {4, 400}}}, at(10));
    const auto load = board.others("one", at(20));
    CHECK(load.at("r").calls == 6);
    CHECK(load.at("r").tokens == 600);
    CHECK(load.at("q").calls == 1);
    CHECK(board.others("one", at(1005)).at("r").calls == 4);
    board.told("two", {}, at(2000));
    CHECK(board.others("one", at(2000)).empty());
}

} // namespace crosslink
