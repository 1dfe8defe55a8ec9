// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/block_key.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crosslink
{

namespace
{

constexpr std::string_view secret = "fleet-secret";
constexpr BlockOwner owner{"cooks", "andes-7b", "v1", ""};

std::string
text_of(std::size_t blocks, char letter = 'x')
{
    return std::string(blocks * block_text_bytes, letter);
}

} // namespace

TEST_CASE("only whole blocks have keys")
{
    CHECK(block_keys(secret, owner, "short").empty());
    CHECK(block_keys(secret, owner, text_of(2) + "tail").size() == 2);
}

TEST_CASE("a longer prompt keeps the keys of its prefix")
{
    const auto shorter = block_keys(secret, owner, text_of(3));
    const auto longer = block_keys(secret, owner, text_of(3) + text_of(1, 'y'));
    REQUIRE(longer.size() == 4);
    CHECK(std::equal(shorter.begin(), shorter.end(), longer.begin()));
}

TEST_CASE("a key depends on everything that made the block")
{
    const std::string prompt = text_of(1);
    const auto key = block_keys(secret, owner, prompt).front();
    const BlockOwner others[] = {{"vendors", "andes-7b", "v1", ""},
                                 {"cooks", "andes-8b", "v1", ""},
                                 {"cooks", "andes-7b", "v2", ""},
                                 {"cooks", "andes-7b", "v1", "tags"}};
    for (const BlockOwner& other : others)
        CHECK(block_keys(secret, other, prompt).front() != key);
    CHECK(block_keys("other-secret", owner, prompt).front() != key);
}

TEST_CASE("fields can't be shifted into each other")
{
    const std::string prompt = text_of(1);
    const BlockOwner one{"ab", "c", "v1", ""};
    const BlockOwner other{"a", "bc", "v1", ""};
    CHECK(block_keys(secret, one, prompt) != block_keys(secret, other, prompt));
}

TEST_CASE("prompts share keys just as far as they are the same")
{
    CHECK(rc::check("keys are shared up to the first different block", [] {
        const auto letters = [] {
            return *rc::gen::container<std::string>(rc::gen::inRange('a', 'd'));
        };
        std::string one;
        std::string other;
        std::size_t same = 0;
        const std::string first = letters();
        const std::string second = letters();
        for (const char letter : first)
            one += text_of(1, letter);
        for (const char letter : second)
            other += text_of(1, letter);
        while (same < std::min(first.size(), second.size()) &&
               first[same] == second[same])
            ++same;
        const auto keys = block_keys(secret, owner, one);
        const auto others = block_keys(secret, owner, other);
        for (std::size_t i = 0; i < std::min(keys.size(), others.size()); ++i)
            RC_ASSERT((keys[i] == others[i]) == (i < same));
    }));
}

} // namespace crosslink
