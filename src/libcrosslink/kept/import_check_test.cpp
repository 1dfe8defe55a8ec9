// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/base/invariants.h>
#include <crosslink/kept/import_check.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

SealedBlock
block(const std::string& name)
{
    return {sha256(name), {1, 1, 1}, sha256("content of " + name), 100};
}

} // namespace

TEST_CASE("an import is used only where every block was read whole")
{
    const std::vector<SealedBlock> asked{block("a"), block("b")};
    const ImportResult read{"s", {asked[0].content, asked[1].content}};
    CHECK(import_is_sound(asked, read, {true, true}));
    SECTION("freed while it was read")
    {
        CHECK_FALSE(import_is_sound(asked, read, {true, false}));
    }
    SECTION("other bytes than were sealed")
    {
        const ImportResult wrong{"s", {asked[0].content, sha256("old")}};
        CHECK_FALSE(import_is_sound(asked, wrong, {true, true}));
    }
    SECTION("fewer blocks than were asked for")
    {
        const ImportResult fewer{"s", {asked[0].content}};
        CHECK_FALSE(import_is_sound(asked, fewer, {true, true}));
    }
    SECTION("no answer from the store")
    {
        CHECK_FALSE(import_is_sound(asked, read, {}));
    }
}

TEST_CASE("a store's answer must be a prefix of what was asked")
{
    const std::vector<Digest> asked{block("a").key, block("b").key};
    const std::vector<SealedBlock> right{block("a")};
    const std::vector<SealedBlock> foreign{block("z")};
    const auto before =
        InvariantCounters::instance().count(Invariant::BlockIdentity);
    CHECK_NOTHROW(check_lookup(asked, right));
    CHECK_THROWS_AS(check_lookup(asked, foreign), Error);
    CHECK(InvariantCounters::instance().count(Invariant::BlockIdentity) ==
          before + 1);
}

} // namespace crosslink
