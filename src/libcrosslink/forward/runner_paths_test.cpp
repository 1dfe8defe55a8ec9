// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_paths.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

TimePoint
at(int ms)
{
    return TimePoint(std::chrono::seconds(100)) + std::chrono::milliseconds(ms);
}

} // namespace

TEST_CASE("a runner that only others reach is called through them")
{
    RunnerPaths paths;
    CHECK(!paths.path_to("a").relayed);
    CHECK(!paths.any_cut());
    CHECK(paths.cut("a", at(0)));
    CHECK(!paths.cut("a", at(10)));
    CHECK(paths.any_cut());
    CHECK(paths.path_to("a").relayed);
    CHECK(paths.path_to("a").proven_since == at(0));
    CHECK(!paths.path_to("b").relayed);
    CHECK(paths.connected("a", at(20)));
    CHECK(!paths.path_to("a").relayed);
    CHECK(!paths.any_cut());
}

TEST_CASE("two cut runners stand for all until a connection is made")
{
    RunnerPaths paths;
    paths.cut("a", at(0));
    paths.cut("b", at(10));
    CHECK(paths.all_cut());
    CHECK(paths.all_cut_for(at(30)) == std::chrono::milliseconds(20));
    CHECK(paths.path_to("c").relayed);
    CHECK(paths.path_to("c").proven_since == at(10));
    CHECK(!paths.connected("c", at(20)));
    CHECK(!paths.path_to("c").relayed);
    CHECK(paths.all_cut_for(at(30)).count() == 0);
    CHECK(paths.path_to("a").relayed);
    CHECK(paths.path_to("b").relayed);
}

TEST_CASE("cuts before a connection do not stand for all runners")
{
    RunnerPaths paths;
    paths.cut("a", at(0));
    paths.connected("c", at(10));
    paths.cut("b", at(20));
    CHECK(!paths.all_cut());
    paths.forget("a");
    paths.cut("d", at(20 + 3000));
    CHECK(!paths.all_cut());
}

TEST_CASE("a runner that others do not reach either counts as down for a while")
{
    RunnerPaths paths;
    paths.down("a", at(0));
    CHECK(paths.is_down("a", at(999)));
    CHECK(!paths.is_down("a", at(1000)));
    CHECK(!paths.is_down("b", at(0)));
    CHECK(!paths.path_to("a").relayed);
}

TEST_CASE("a silent runner is probed where no other is heard")
{
    RunnerPaths paths;
    paths.heard(at(0));
    CHECK(!paths.suspect("a", at(200)));
    CHECK(!paths.next_probe());
    CHECK(paths.suspect("a", at(250)));
    CHECK(paths.take_probe(at(250)) == "a");
    CHECK(!paths.take_probe(at(250)));
}

TEST_CASE("cut runners are probed in turn, with a pause after each failure")
{
    RunnerPaths paths;
    paths.cut("a", at(0));
    paths.connected("x", at(1));
    paths.cut("b", at(2));
    CHECK(paths.take_probe(at(10)) == "a");
    paths.probe_failed(at(10));
    CHECK(!paths.take_probe(at(200)));
    CHECK(paths.next_probe() == at(260));
    CHECK(paths.take_probe(at(260)) == "b");
    paths.connected("b", at(261));
    CHECK(paths.take_probe(at(262)) == "a");
}

TEST_CASE("while all runners count as cut, any of them is probed as well")
{
    RunnerPaths paths;
    paths.cut("a", at(0));
    paths.cut("b", at(1));
    CHECK(paths.take_probe(at(10)) == "");
    CHECK(paths.take_probe(at(20)) == "a");
    CHECK(paths.take_probe(at(30)) == "");
    paths.connected("c", at(30));
    CHECK(paths.take_probe(at(40)) == "b");
}

TEST_CASE("the number of cut runners is bounded")
{
    RunnerPaths paths;
    for (std::size_t i = 0; i < RunnerPaths::max_cut_runners; ++i)
        CHECK(paths.cut("r" + std::to_string(i), at(0)));
    CHECK(!paths.cut("one more", at(1)));
    CHECK(paths.path_to("one more").relayed);
}

TEST_CASE("a runner that is no longer listed is not probed")
{
    RunnerPaths paths;
    paths.cut("a", at(0));
    paths.cut("b", at(0));
    paths.forget("a");
    CHECK(paths.all_cut());
    paths.forget("b");
    CHECK(!paths.all_cut());
    CHECK(!paths.next_probe());
}

} // namespace crosslink
