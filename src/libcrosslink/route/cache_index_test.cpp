// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/route/cache_index.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace crosslink
{

namespace
{

Digest
key(int number)
{
    return sha256(std::to_string(number));
}

} // namespace

TEST_CASE("a gap in the events asks for a resync")
{
    CacheIndex index;
    CHECK(index.apply(std::vector<CacheEvent>{{1, key(1), true}}));
    CHECK_FALSE(index.apply(std::vector<CacheEvent>{{3, key(3), true}}));
    index.resync(std::vector<Digest>{key(1), key(2)}, 3);
    CHECK(index.prefix(std::vector<Digest>{key(1), key(2)}) == 2);
    CHECK(index.sequence() == 3);
}

TEST_CASE("beyond its capacity the ends of older prompts are removed first")
{
    CacheIndex index;
    const std::vector<Digest> prompt{key(1), key(2), key(3)};
    index.expect(prompt);
    index.set_capacity(2);
    CHECK(index.prefix(prompt) == 2);
    index.expect(std::vector<Digest>{key(4)});
    CHECK(index.size() == 2);
    CHECK(index.prefix(prompt) == 1);
}

TEST_CASE("repeated and overlapping events give the engine's own cache content")
{
    CHECK(rc::check("the index equals the cache after all events", [] {
        const auto changes =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(-5, 6));
        std::vector<CacheEvent> log;
        std::set<int> cached;
        for (const int change : changes) {
            const int number = change < 0 ? -change : change;
            change < 0 ? (void)cached.erase(number)
                       : (void)cached.insert(number);
            log.push_back({log.size() + 1, key(number), change >= 0});
        }
        CacheIndex index;
        while (index.sequence() < log.size()) {
            const auto from =
                *rc::gen::inRange<std::size_t>(0, index.sequence() + 1);
            const auto to = *rc::gen::inRange<std::size_t>(index.sequence() + 1,
                                                           log.size() + 1);
            RC_ASSERT(index.apply(std::span(log).subspan(from, to - from)));
        }
        for (int number = 0; number < 6; ++number)
            RC_ASSERT((index.prefix(std::vector<Digest>{key(number)}) == 1) ==
                      cached.contains(number));
    }));
}

} // namespace crosslink
