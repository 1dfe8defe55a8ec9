// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_paths.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace crosslink
{

namespace
{

TimePoint
at(int ms)
{
    return TimePoint(std::chrono::seconds(100)) + std::chrono::milliseconds(ms);
}

/// A runner of the same service and zone as all others.
RunnerPlace
runner(std::string_view id)
{
    return {id, "s", "z"};
}

} // namespace

TEST_CASE("a runner that only others reach is called through them")
{
    RunnerPaths paths;
    CHECK(!paths.path_to(runner("a")).relayed);
    CHECK(!paths.any_cut());
    CHECK(paths.cut(runner("a"), at(0)));
    CHECK(!paths.cut(runner("a"), at(10)));
    CHECK(paths.any_cut());
    CHECK(paths.path_to(runner("a")).relayed);
    CHECK(paths.path_to(runner("a")).proven_since == at(0));
    CHECK(!paths.path_to(runner("b")).relayed);
    CHECK(paths.answered(runner("a"), at(20)));
    CHECK(!paths.path_to(runner("a")).relayed);
    CHECK(!paths.any_cut());
}

TEST_CASE("two cut runners stand for all until a connection is made")
{
    RunnerPaths paths;
    paths.cut(runner("a"), at(0));
    paths.cut(runner("b"), at(10));
    CHECK(paths.all_cut());
    CHECK(paths.all_cut_for(at(30)) == std::chrono::milliseconds(20));
    CHECK(paths.path_to(runner("c")).relayed);
    CHECK(paths.path_to(runner("c")).proven_since == at(10));
    CHECK(!paths.answered(runner("c"), at(20)));
    CHECK(!paths.path_to(runner("c")).relayed);
    CHECK(paths.all_cut_for(at(30)).count() == 0);
    CHECK(paths.path_to(runner("a")).relayed);
    CHECK(paths.path_to(runner("b")).relayed);
}

TEST_CASE("an answer on a connection from before the cut proves no path")
{
    RunnerPaths paths;
    paths.cut(runner("a"), at(10));
    paths.cut(runner("b"), at(11));
    CHECK(!paths.answered(runner("a"), at(9)));
    CHECK(paths.path_to(runner("a")).relayed);
    CHECK(paths.all_cut());
    CHECK(paths.answered(runner("a"), at(11)));
    CHECK(!paths.all_cut());
}

TEST_CASE("cuts before a connection do not stand for all runners")
{
    RunnerPaths paths;
    paths.cut(runner("a"), at(0));
    paths.answered(runner("c"), at(10));
    paths.cut(runner("b"), at(20));
    CHECK(!paths.all_cut());
    paths.forget("a");
    paths.cut(runner("d"), at(20 + 3000));
    CHECK(!paths.all_cut());
}

TEST_CASE("a runner that others do not reach either counts as down for a while")
{
    RunnerPaths paths;
    paths.down("a", at(0));
    CHECK(paths.is_down("a", at(999)));
    CHECK(!paths.is_down("a", at(1000)));
    CHECK(!paths.is_down("b", at(0)));
    CHECK(!paths.path_to(runner("a")).relayed);
}

TEST_CASE("a silent runner is probed where no other is heard")
{
    RunnerPaths paths;
    paths.heard(runner("x"), at(0));
    CHECK(!paths.suspect(runner("a"), at(200)));
    CHECK(!paths.next_probe());
    CHECK(paths.suspect(runner("a"), at(250)));
    CHECK(paths.take_probe(at(250))->runner == "a");
    CHECK(!paths.take_probe(at(250)));
}

TEST_CASE("cut runners are probed in turn, with a pause after each failure")
{
    RunnerPaths paths;
    paths.cut(runner("a"), at(0));
    paths.answered(runner("x"), at(1));
    paths.cut(runner("b"), at(2));
    CHECK(paths.take_probe(at(10))->runner == "a");
    paths.probe_failed(at(10));
    CHECK(!paths.take_probe(at(200)));
    CHECK(paths.next_probe() == at(260));
    CHECK(paths.take_probe(at(260))->runner == "b");
    paths.answered(runner("b"), at(261));
    CHECK(paths.take_probe(at(262))->runner == "a");
}

TEST_CASE("while all runners count as cut, any of them is probed as well")
{
    RunnerPaths paths;
    paths.cut(runner("a"), at(0));
    paths.cut(runner("b"), at(1));
    CHECK(paths.take_probe(at(10))->runner.empty());
    CHECK(paths.take_probe(at(20))->runner == "a");
    CHECK(paths.take_probe(at(30))->runner.empty());
    paths.answered(runner("c"), at(30));
    CHECK(paths.take_probe(at(40))->runner == "b");
}

TEST_CASE("two cut runners of a service stand for it while others connect")
{
    const RunnerPlace other{"c", "other", "z"};
    RunnerPaths paths;
    paths.cut({"a", "s", "z"}, at(0));
    paths.answered(other, at(1));
    paths.cut({"b", "s", "y"}, at(2));
    CHECK(!paths.all_cut());
    CHECK(!paths.path_to(other).relayed);
    CHECK(paths.path_to({"d", "s", "x"}).relayed);
    CHECK(paths.path_to({"d", "s", "x"}).proven_since == at(2));
    CHECK(paths.answered({"d", "s", "x"}, at(3)) == false);
    CHECK(!paths.path_to({"e", "s", "x"}).relayed);
}

TEST_CASE("two cut runners of a zone stand for it while others connect")
{
    RunnerPaths paths;
    paths.cut({"a", "s", "z"}, at(0));
    paths.answered({"c", "s", "y"}, at(1));
    paths.cut({"b", "s", "z"}, at(2));
    CHECK(paths.path_to({"d", "s", "z"}).relayed);
    CHECK(paths.path_to({"d", "other", "z"}).relayed);
    CHECK(!paths.path_to({"d", "s", "y"}).relayed);
    CHECK(!paths.answered({"d", "other", "z"}, at(3)));
    CHECK(!paths.path_to({"d", "other", "z"}).relayed);
    CHECK(paths.path_to({"d", "s", "z"}).relayed);
}

TEST_CASE("a group that is presumed cut is probed until one is reached")
{
    RunnerPaths paths;
    paths.cut({"a", "s", "z"}, at(0));
    paths.answered({"c", "other", "y"}, at(1));
    paths.cut({"b", "s", "z"}, at(2));
    std::set<std::string> services;
    for (int i = 0; i < 8; ++i)
        if (const auto probe = paths.take_probe(at(10)))
            services.insert(probe->runner.empty() ? probe->group.service
                                                  : probe->runner);
    CHECK(services == std::set<std::string>{"", "s", "a", "b"});
    paths.answered({"a", "s", "z"}, at(11));
    paths.answered({"b", "s", "z"}, at(12));
    CHECK(!paths.next_probe());
    CHECK(!paths.take_probe(at(20)));
}

TEST_CASE("a silent runner is probed though those of another service are heard")
{
    RunnerPaths paths;
    paths.heard({"c", "other", "z"}, at(0));
    CHECK(paths.suspect({"a", "s", "z"}, at(1)));
    CHECK(paths.take_probe(at(2))->suspect);
}

TEST_CASE("a silent zone is probed later while its service is heard elsewhere")
{
    RunnerPaths paths;
    paths.heard({"a", "s", "z"}, at(0));
    paths.heard({"c", "s", "y"}, at(1000));
    CHECK(!paths.suspect({"b", "s", "z"}, at(999)));
    CHECK(paths.suspect({"b", "s", "z"}, at(1000)));
}

TEST_CASE("the number of cut runners is bounded")
{
    RunnerPaths paths;
    for (std::size_t i = 0; i < RunnerPaths::max_cut_runners; ++i)
        CHECK(paths.cut(runner("r" + std::to_string(i)), at(0)));
    CHECK(!paths.cut(runner("one more"), at(1)));
    CHECK(paths.path_to(runner("one more")).relayed);
}

TEST_CASE("a runner that is no longer listed is not probed")
{
    RunnerPaths paths;
    paths.cut(runner("a"), at(0));
    paths.cut(runner("b"), at(0));
    paths.forget("a");
    CHECK(paths.all_cut());
    paths.forget("b");
    CHECK(!paths.all_cut());
    CHECK(!paths.next_probe());
}

} // namespace crosslink
