// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/software_evidence.h>

#include <catch2/catch.hpp>

using namespace crosslink;

TEST_CASE("homes that do not answer show nothing", "[software_evidence]")
{
    SoftwareEvidence evidence;
    CHECK_FALSE(evidence.homes_show_it());
    evidence.home_answered();
    CHECK(evidence.homes_show_it());
    evidence.home_silent();
    CHECK_FALSE(evidence.homes_show_it());
}

TEST_CASE("a list from before a stream was taken up shows nothing",
          "[software_evidence]")
{
    const TimePoint asked{std::chrono::hours(1)};
    CHECK(SoftwareEvidence::list_shows_it(asked, asked));
    CHECK_FALSE(SoftwareEvidence::list_shows_it(asked - Micros{1}, asked));
}
