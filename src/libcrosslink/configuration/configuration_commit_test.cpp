// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/fake_platform.h"

#include <crosslink/configuration/configuration_commit.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace crosslink
{

namespace
{

using testing::FakePlatform;
using testing::Fate;
using Parts = std::map<std::string, std::string>;

ConfigurationChange
change(const std::string& id)
{
    return {0, id, "tester", 1};
}

} // namespace

TEST_CASE(
    "of two operators that race one commits and the other changes nothing")
{
    FakePlatform platform;
    const HeadRecord base = read_head(platform);
    commit_configuration(platform, base, Parts{{"p", "one"}}, change("a"));
    try {
        commit_configuration(platform, base, Parts{{"p", "two"}}, change("b"));
        FAIL("the second operator must lose");
    } catch (const Error& failure) {
        CHECK(failure.code() == ErrorCode::RevisionConflict);
    }
    const HeadRecord now = read_head(platform);
    CHECK(now.head.revision == 1);
    CHECK(now.head.parts.at("p") == sha256("one"));
}

TEST_CASE("a commit whose answer is lost is applied once")
{
    FakePlatform platform;
    int calls = 0;
    platform.next_fate = [&calls] {
        return ++calls == 2 ? Fate::LoseAnswer : Fate::Answer;
    };
    const ConfigurationHead head = commit_configuration(
        platform, HeadRecord{}, Parts{{"p", "one"}}, change("a"));
    CHECK(head.revision == 1);
    CHECK(read_head(platform).head.revision == 1);
    CHECK(read_head(platform).head.history.size() == 1);
}

TEST_CASE("parts that no head names are removed")
{
    FakePlatform platform;
    ConfigurationHead before;
    for (const char* text : {"one", "two", "three"}) {
        const HeadRecord base = read_head(platform);
        const ConfigurationHead head = commit_configuration(
            platform, base, Parts{{"p", text}}, change(text));
        remove_old_parts(platform, head, base.head);
    }
    CHECK(platform.list(configuration_part_prefix).size() == 2);
}

TEST_CASE("concurrent operators and faults leave one history")
{
    CHECK(rc::check("revisions grow by one and acknowledged changes stay", [] {
        FakePlatform platform;
        platform.next_fate = [] {
            return *rc::gen::weightedElement<Fate>(
                {{8, Fate::Answer},
                 {1, Fate::Refuse},
                 {1, Fate::LoseRequest},
                 {2, Fate::LoseAnswer},
                 {1, Fate::DelayPastAnswer}});
        };
        std::set<std::string> acknowledged;
        int number = 0;
        bool inside = false;
        const auto operate = [&] {
            const std::string id = "c" + std::to_string(++number);
            try {
                const HeadRecord base = read_head(platform);
                commit_configuration(platform, base, Parts{{"p", id}},
                                     change(id));
                acknowledged.insert(id);
            } catch (const Error&) {
                return;
            }
        };
        platform.before_call = [&] {
            if (inside || *rc::gen::inRange(0, 5) != 0)
                return;
            inside = true;
            platform.deliver_delayed();
            operate();
            inside = false;
        };
        const int steps = *rc::gen::inRange(1, 15);
        for (int i = 0; i < steps; ++i)
            operate();
        platform.next_fate = [] { return Fate::Answer; };
        inside = true;
        const ConfigurationHead head = read_head(platform).head;
        std::uint64_t expected = 0;
        for (const ConfigurationChange& kept : head.history)
            RC_ASSERT(kept.revision == ++expected);
        RC_ASSERT(head.revision == expected);
        for (const std::string& id : acknowledged)
            RC_ASSERT(head.has_change(id));
    }));
}

} // namespace crosslink
