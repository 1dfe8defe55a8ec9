// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_words.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("a rest is no shorter than what was asked for, nor much longer")
{
    const TimePoint now{std::chrono::seconds(100)};
    for (const Micros rest :
         {Micros(1), Micros(250'000), Micros(3'000'000), Micros(90'000'000)})
        for (const std::uint64_t random : {0, 1, 499, 999, 1000, 123456789}) {
            const TimePoint end = rest_end(rest, now, random);
            CHECK(end >= now + rest);
            CHECK(end <= now + rest + rest / 8);
            CHECK(end <= now + rest + std::chrono::seconds(1));
        }
    CHECK(rest_end(std::chrono::seconds(3), now, 999) >
          rest_end(std::chrono::seconds(3), now, 1));
}

} // namespace crosslink
