// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/admission_counts.h>

#include <catch2/catch.hpp>

#include <algorithm>

namespace crosslink
{

TEST_CASE("calls and refusals are counted by service, priority and reason")
{
    AdmissionCounts counts;
    counts.requested("s", 2);
    counts.requested("s", 2);
    counts.refused("s", 2, QueueRefusal::Reason::AboveShare);
    const std::string text = counts.text();
    CHECK(text.find("crosslink_admission_calls_total{service=\"s\","
                    "priority=\"2\"} 2\n") != std::string::npos);
    CHECK(text.find("crosslink_admission_refused_total{service=\"s\","
                    "priority=\"2\",reason=\"above_share\"} 1\n") !=
          std::string::npos);
}

// Guards against metrics that grow with each priority that an account names.
TEST_CASE("the rows of the counters are bounded, and no call is lost")
{
    AdmissionCounts counts;
    for (std::uint32_t priority = 0; priority < 1000; ++priority)
        counts.requested("s", priority);
    const std::string text = counts.text();
    const auto lines = std::count(text.begin(), text.end(), '\n');
    CHECK(lines <= 2 + 4 * std::ptrdiff_t{AdmissionCounts::max_rows});
    CHECK(text.find("{service=\"other\",priority=\"other\"} 937\n") !=
          std::string::npos);
}

} // namespace crosslink
