// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/child_admission.h>

#include <catch2/catch.hpp>

#include <string>

namespace crosslink
{

namespace
{

constexpr Micros poll_pause = std::chrono::milliseconds(150);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

std::string
child(std::size_t number)
{
    return "i" + std::to_string(number);
}

/// Returns how many polls are answered in ten seconds if all of `instances`
/// poll the same one.
std::size_t
answered_polls(std::size_t instances)
{
    ChildAdmission admission;
    std::size_t answered = 0;
    for (TimePoint now = at(0); now < at(10'000); now += poll_pause)
        for (std::size_t i = 0; i < instances; ++i)
            answered += admission.admit(child(i), now) ? 1 : 0;
    return answered;
}

} // namespace

TEST_CASE("an instance that all poll answers as many in any fleet")
{
    const std::size_t most = answered_polls(max_admitted_children);
    for (const std::size_t instances : {301, 985, 1970}) {
        CAPTURE(instances);
        CHECK(answered_polls(instances) == most);
    }
}

TEST_CASE("the children that the tree plans are always admitted")
{
    ChildAdmission admission;
    for (std::size_t i = 0; i < max_children_of_strong; ++i)
        CHECK(admission.admit(child(i), at(0)));
}

TEST_CASE("a place is free again when a child polls no more")
{
    ChildAdmission admission;
    for (std::size_t i = 0; i < max_admitted_children; ++i)
        REQUIRE(admission.admit(child(i), at(0)));
    CHECK_FALSE(admission.admit("late", at(500)));
    // The first goes on; the others have gone.
    CHECK(admission.admit(child(0), at(900)));
    CHECK(admission.admit("late", at(1500)));
    CHECK(admission.admit(child(0), at(1600)));
}

} // namespace crosslink
