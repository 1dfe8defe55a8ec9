// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "upstream_directory.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace crosslink
{

namespace
{

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

/// The plain services "a" and "b" at addresses of the same names.
UpstreamDirectory
directory()
{
    std::vector<ListedInstance> listed(2);
    for (std::size_t i = 0; i < listed.size(); ++i) {
        listed[i].address = i == 0 ? "a" : "b";
        listed[i].zone = "z";
        listed[i].service = "s";
    }
    UpstreamDirectory directory;
    directory.sync(listed, at(0));
    return directory;
}

std::vector<std::string>
usable(const UpstreamDirectory& directory, int millis)
{
    return directory.plain_for("s", "z", 0, at(millis));
}

} // namespace

TEST_CASE("an upstream gets no work during the backoff that it asked for")
{
    UpstreamDirectory upstreams = directory();
    upstreams.backs_off("a", at(3000));
    upstreams.backs_off("a", at(1000));
    upstreams.failed("a", at(10));
    CHECK(usable(upstreams, 2999) == std::vector<std::string>{"b"});
    // A call that was sent before the backoff succeeds.
    upstreams.succeeded("a");
    CHECK(usable(upstreams, 2999) == std::vector<std::string>{"b"});
    CHECK(usable(upstreams, 3000).size() == 2);
    // A new read of the list keeps the backoff.
    upstreams.sync(std::vector<ListedInstance>(upstreams.listed()), at(20));
    CHECK(usable(upstreams, 2999).size() == 1);
}

TEST_CASE("if all upstreams back off, it is known when one is free again")
{
    UpstreamDirectory upstreams = directory();
    CHECK(upstreams.plain_free_at("s") == TimePoint{});
    upstreams.backs_off("a", at(3000));
    upstreams.backs_off("b", at(2000));
    CHECK(usable(upstreams, 1999).empty());
    CHECK(upstreams.plain_free_at("s") == at(2000));
    CHECK_FALSE(upstreams.plain_free_at("t"));
}

} // namespace crosslink
