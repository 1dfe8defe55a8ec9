// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/kept/block_key.h>
#include <crosslink/route/router.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

constexpr std::size_t blocks = 20;
const TimePoint now{std::chrono::seconds(100)};

EngineLoad
load(std::uint64_t waiting_tokens = 0)
{
    EngineLoad result;
    result.engine_id = "e";
    result.resident.push_back({"m", "v1", {}});
    result.prefill_tokens_per_second = 1000;
    result.slots = 8;
    result.waiting_tokens = waiting_tokens;
    return result;
}

/// Two engines, a prompt of twenty blocks, and a store that has all of them.
struct RouterFixture {
    RouterFixture()
    {
        const std::vector<ListedEngine> listed{{"one", "z", false},
                                               {"two", "z", false}};
        engines.sync(listed, now);
        engines.update_load("one", load(), now);
        engines.update_load("two", load(), now);
        for (std::size_t i = 0; i < blocks; ++i) {
            keys.push_back(sha256(std::to_string(i)));
            kept.push_back({keys.back(), {}, {}, 1'000'000});
        }
    }

    std::optional<RouteChoice> choose(bool with_kept = false)
    {
        RouteRequest request;
        request.model = "m";
        request.version = "v1";
        request.keys = keys;
        request.prompt_tokens = std::uint64_t{blocks} * block_tokens;
        request.zone = "z";
        request.store = "s";
        if (with_kept)
            request.kept = kept;
        Router router(RoutePolicy::Priced, {});
        return router.choose(engines, links, request, now);
    }

    EngineTable engines;
    LinkTable links;
    std::vector<Digest> keys;
    std::vector<SealedBlock> kept;
};

} // namespace

TEST_CASE("the engine that has the prefix is chosen")
{
    RouterFixture fixture;
    fixture.engines.find("two")->cache.expect(fixture.keys);
    const auto choice = fixture.choose();
    CHECK(choice->engine == "two");
    CHECK(choice->cached_blocks == blocks);
    CHECK(choice->compute_tokens == 0);
}

TEST_CASE("a long queue outweighs a cached prefix")
{
    RouterFixture fixture;
    fixture.engines.find("two")->cache.expect(fixture.keys);
    fixture.engines.update_load("two", load(100'000), now);
    CHECK(fixture.choose()->engine == "one");
}

TEST_CASE("kept blocks are fetched where the link is faster than computing")
{
    RouterFixture fixture;
    CHECK(fixture.choose(true)->fetch_end == blocks);
    // With a link that turned out to be slow, recomputing is faster.
    for (int i = 0; i < 30; ++i) {
        fixture.links.begin("s", 1'000'000);
        fixture.links.end("s", 1'000'000, std::chrono::seconds(1), true);
    }
    CHECK(fixture.choose(true)->fetch_end == 0);
}

TEST_CASE("no work goes to an engine that leaves or lacks the weights")
{
    RouterFixture fixture;
    fixture.engines.mark_leaving("one", now + std::chrono::seconds(5));
    CHECK(fixture.choose()->engine == "two");
    EngineLoad swapped = load();
    swapped.resident.front().version = "v2";
    fixture.engines.update_load("two", swapped, now);
    CHECK_FALSE(fixture.choose());
    CHECK_THROWS_AS(fixture.engines.sent("one", "r", 1, now), Error);
}

TEST_CASE("a failing engine is excluded for a time, then tried again")
{
    RouterFixture fixture;
    fixture.engines.failed("one", now);
    CHECK_FALSE(fixture.engines.find("one")->takes_work(now));
    CHECK(
        fixture.engines.find("one")->takes_work(now + std::chrono::seconds(1)));
}

TEST_CASE("own work that is in no report yet counts")
{
    RouterFixture fixture;
    fixture.engines.sent("one", "r", 50'000, now);
    CHECK(fixture.choose()->engine == "two");
}

} // namespace crosslink
