// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fencing_token.h>
#include <crosslink/membership/held_duty.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr Micros span = std::chrono::seconds(2);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

} // namespace

TEST_CASE("a suspended duty is unbroken while its lease can't have expired")
{
    HeldDuty held;
    CHECK_FALSE(held.is_held());
    held.taken({1, 90}, at(0), span);
    CHECK(held.is_held());
    CHECK_FALSE(held.is_unbroken(at(100)));
    held.renewed(at(1000), span);
    held.suspend();
    CHECK_FALSE(held.is_held());
    CHECK(held.is_unbroken(at(2999)));
    CHECK_FALSE(held.is_unbroken(at(3000)));
}

TEST_CASE("a duty that goes on keeps its token, in the era of its new lease")
{
    HeldDuty held;
    held.taken({1, 90}, at(0), span);
    held.suspend();
    held.continued({2, 40}, at(500), span);
    CHECK(held.is_held());
    CHECK(held.token() == fencing_token({1, 90}));
    CHECK(held.revision() == 40);
}

TEST_CASE("a duty that is taken anew has a token of its era")
{
    HeldDuty held;
    held.taken({1, 90}, at(0), span);
    held.suspend();
    held.taken({2, 40}, at(500), span);
    CHECK(held.token() == fencing_token({2, 40}));
}

} // namespace crosslink
