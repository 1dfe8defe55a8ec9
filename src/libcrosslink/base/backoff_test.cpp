// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/backoff.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crosslink
{

TEST_CASE("pauses double up to the longest, and are random by half")
{
    CHECK(rc::check([](std::uint64_t random) {
        const Micros first = std::chrono::milliseconds(100);
        const Micros longest = std::chrono::milliseconds(1000);
        Backoff backoff(first, longest);
        for (Micros whole = first; whole < 4 * longest; whole *= 2) {
            const Micros bound = std::min(whole, longest);
            const Micros pause = backoff.next(random);
            RC_ASSERT(pause >= bound / 2);
            RC_ASSERT(pause <= bound);
        }
        backoff.reset();
        RC_ASSERT(backoff.next(random) <= first);
    }));
}

} // namespace crosslink
